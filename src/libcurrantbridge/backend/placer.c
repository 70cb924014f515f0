#include "currantbridge/placer.h"

#include <string.h>

#include "currantbridge/placement.h"

#define TICK_MS 200
/* Profiles of engines change rarely; documents may come in storms. */
#define DOCUMENT_INTERVAL_MS 2000
/*
 * Before any layer is held, servers are waited for as long as new ones come
 * within this, so that the first plan knows the fleet: heartbeats come about
 * once a second.
 */
#define SETTLE_MS 1500
/* A process that has just started may not have heard all servers yet. */
#define HEAR_ALL_MS 3000
/* An order whose layers are not reported after this is looked into. */
#define ORDER_TIMEOUT_MS 20000
/* An engine this much slower than usual holds up every chain through it. */
#define SLOW_LOST_PERCENT 300
/* Each engine is asked this often whether it has turned slow. */
#define ASK_INTERVAL_MS 2000
/*
 * An engine that entry instances doubt is asked this often, and is lost if it
 * does not answer within that time: stalled streams wait for its layers.
 */
#define ASK_DOUBTED_MS 300
/* How soon a server that refused, or did not answer, is asked again. */
#define REFUSED_RETRY_MS 500

const char *const cb_order_outcome_string[CB_ORDER_OUTCOME_COUNT] = {
	[CB_ORDER_ACCEPTED] = "accepted",
	[CB_ORDER_REFUSED] = "refused",
	[CB_ORDER_FENCED] = "fenced",
	[CB_ORDER_LOST] = "lost",
};

/* What this leader knows of the orders to one start of a server. */
typedef struct order_state {
	cb_placer_t *placer;
	char *start;
	gboolean is_pending; /* ordered, and not reported as done */
	gboolean is_asked;   /* an order or question waits for its answer */
	gboolean knows_count;
	gboolean is_orphan; /* forgotten while it is asked */
	uint32_t from;
	uint32_t to;
	uint64_t accepted_orders;
	int64_t ordered_ms;
	int64_t not_before_ms;
	int64_t asked_ms;	/* when it was last asked for a report */
	gboolean is_checked;	/* asked for its pace alone */
	gboolean is_unanswered; /* it did not answer the last question */
	int64_t doubted_ms;	/* since when; 0: it is not doubted */
	int64_t lost_ms;	/* when it was found to be lost; 0: it is not */
} order_state_t;

struct cb_placer {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_clock_t *clock;
	cb_log_t *log;
	cb_node_t *node;
	const cb_document_codec_t *codec;
	cb_engine_orders_t *orders;
	cb_timer_t *timer;
	cb_document_t *document;
	uint64_t document_revision;
	int64_t document_ms; /* when it was last read */
	uint64_t term;
	GHashTable *states;  /* start to order_state_t */
	GHashTable *missing; /* "SERVICE/DATA CENTRE" to the count last told */
	unsigned int known_servers;
	int64_t grown_ms; /* when a server was last new */
	int64_t started_ms;
};

static void state_free_(order_state_t *state)
{
	g_free(state->start);
	g_free(state);
}

/* Frees a state, or leaves that to the answer that it waits for. */
static void state_forget_(void *data)
{
	order_state_t *state = data;

	if (state->is_asked)
		state->is_orphan = TRUE;
	else
		state_free_(state);
}

/* Takes the document in force, if it is another one than before. */
static void document_follow_(cb_placer_t *placer)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	const cb_document_text_t *text =
		cb_view_document(cb_state_view(cb_node_state(placer->node)));
	cb_document_t *document;
	GError *error = NULL;

	if (!text || text->revision == placer->document_revision ||
	    (placer->document &&
	     now_ms - placer->document_ms < DOCUMENT_INTERVAL_MS))
		return;
	placer->document_ms = now_ms;
	placer->document_revision = text->revision;
	document = cb_document_decode(placer->codec, text->packed, &error);
	if (!document) {
		cb_log_event(placer->log, CB_EVENT_DOCUMENT_UNREADABLE,
			     CB_INT("version", text->version),
			     CB_STR("reason", error->message));
		g_error_free(error);
		return;
	}
	cb_document_unref(placer->document);
	placer->document = document;
}

/* Whether a server can be ordered to hold layers. */
static gboolean is_candidate_(const cb_placer_t *placer,
			      const cb_engine_profile_t *engine,
			      const cb_fleet_server_t *server)
{
	const cb_view_t *view = cb_state_view(cb_node_state(placer->node));

	if (server->state != CB_FLEET_READY ||
	    !cb_engine_profile_kind(engine, server->kind))
		return FALSE;
	return !cb_fleet_is_stopped(server, view);
}

/* Whether requests may still pass a server that control does not hear. */
static gboolean is_doubtful_(const cb_placer_t *placer,
			     const cb_fleet_server_t *server)
{
	const cb_view_t *view = cb_state_view(cb_node_state(placer->node));

	return server->state == CB_FLEET_SILENT &&
	       server->layer_from != server->layer_to &&
	       !cb_fleet_is_stopped(server, view);
}

/* Returns what is known of the orders to a server, anew if need be. */
static order_state_t *state_of_(cb_placer_t *placer,
				const cb_fleet_server_t *server)
{
	char *start = cb_fleet_start_name(server);
	order_state_t *state = g_hash_table_lookup(placer->states, start);

	if (state) {
		g_free(start);
		return state;
	}
	state = g_new0(order_state_t, 1);
	state->placer = placer;
	state->start = start;
	/* A server without layers has most likely accepted no order yet. */
	state->knows_count = server->layer_from == server->layer_to;
	g_hash_table_insert(placer->states, state->start, state);
	return state;
}

/* Ends the wait for layers that the server now reports, or never will. */
static void state_follow_(order_state_t *state, const cb_fleet_server_t *server,
			  int64_t now_ms)
{
	if (!state->is_pending || state->is_asked)
		return;
	if (state->from == server->layer_from &&
	    state->to == server->layer_to) {
		state->is_pending = FALSE;
	} else if (now_ms - state->ordered_ms >= ORDER_TIMEOUT_MS) {
		state->is_pending = FALSE;
		state->knows_count = FALSE;
		cb_fleet_set_moving(cb_node_fleet(state->placer->node),
				    server->id, FALSE);
	}
}

/* Returns the ID of the server whose start a state is of; to be freed. */
static char *state_server_(const order_state_t *state)
{
	const char *slash = strrchr(state->start, '/');

	return g_strndup(state->start, (size_t)(slash - state->start));
}

/* Tells the entry instances when a server has turned slow, or is not any more. */
static void slow_note_(const order_state_t *state, uint32_t slow_percent)
{
	char *id = state_server_(state);

	cb_fleet_set_slow(cb_node_fleet(state->placer->node), id, slow_percent);
	g_free(id);
}

static void reported_(const cb_engine_report_t *report, void *user_data)
{
	order_state_t *state = user_data;
	cb_placer_t *placer = state->placer;

	state->is_asked = FALSE;
	if (state->is_orphan) {
		state_free_(state);
		return;
	}
	if (!state->is_checked)
		state->not_before_ms =
			cb_clock_now_ms(placer->clock) + REFUSED_RETRY_MS;
	state->is_checked = FALSE;
	state->is_unanswered = !report;
	if (report)
		slow_note_(state, report->slow_percent);
	if (!report || report->is_busy || state->is_pending)
		return;
	state->knows_count = TRUE;
	state->accepted_orders = report->accepted_orders;
	state->not_before_ms = 0;
}

/* The server gives its present layers up: they take nothing new. */
static void moving_note_(const order_state_t *state)
{
	cb_fleet_t *fleet = cb_node_fleet(state->placer->node);
	char *id = state_server_(state);
	const cb_fleet_server_t *server = cb_fleet_find(fleet, id);

	if (server && server->layer_from != server->layer_to &&
	    (server->layer_from != state->from ||
	     server->layer_to != state->to))
		cb_fleet_set_moving(fleet, id, TRUE);
	g_free(id);
}

static void placed_(cb_order_outcome_t outcome, void *user_data)
{
	order_state_t *state = user_data;
	cb_placer_t *placer = state->placer;

	state->is_asked = FALSE;
	if (state->is_orphan) {
		state_free_(state);
		return;
	}
	cb_log_event(placer->log, CB_EVENT_LAYERS_ANSWERED,
		     CB_STR("server", state->start),
		     CB_STR("outcome", cb_order_outcome_string[outcome]));
	if (outcome == CB_ORDER_ACCEPTED) {
		state->accepted_orders++;
		moving_note_(state);
		return;
	}
	state->is_pending = FALSE;
	/*
	 * A lost order is given again at once: the count that it expects lets
	 * only one of the two be carried out, whichever comes first.
	 */
	if (outcome == CB_ORDER_LOST)
		return;
	state->not_before_ms =
		cb_clock_now_ms(placer->clock) + REFUSED_RETRY_MS;
	state->knows_count = FALSE;
}

/* Asks a server how many orders it has accepted. */
static void ask_(cb_placer_t *placer, order_state_t *state, const char *address)
{
	state->is_asked = TRUE;
	state->asked_ms = cb_clock_now_ms(placer->clock);
	placer->orders->vtable->report(placer->orders, address, reported_,
				       state);
}

static void order_(cb_placer_t *placer, order_state_t *state,
		   const cb_fleet_server_t *server,
		   const cb_placement_move_t *move)
{
	cb_layer_order_t order = {
		.server_id = server->id,
		.address = server->address,
		.from = move->from,
		.to = move->to,
		.fencing = placer->term,
		.expected_orders = state->accepted_orders,
	};

	state->from = move->from;
	state->to = move->to;
	state->is_pending = TRUE;
	state->is_asked = TRUE;
	state->ordered_ms = cb_clock_now_ms(placer->clock);
	cb_log_event(placer->log, CB_EVENT_LAYERS_ORDERED,
		     CB_STR("server", state->start),
		     CB_STR("address", server->address),
		     CB_INT("from", order.from), CB_INT("to", order.to),
		     CB_INT("fence", order.fencing),
		     CB_INT("orders", order.expected_orders));
	placer->orders->vtable->place(placer->orders, &order, placed_, state);
}

/* Carries a move out, after asking the server where that is needed. */
static void move_(cb_placer_t *placer, const cb_fleet_server_t *server,
		  const cb_placement_move_t *move)
{
	order_state_t *state = state_of_(placer, server);

	if (state->is_asked ||
	    cb_clock_now_ms(placer->clock) < state->not_before_ms)
		return;
	if (state->knows_count)
		order_(placer, state, server, move);
	else
		ask_(placer, state, server->address);
}

/* Asks a server now and then whether it has turned slow. */
static void pace_check_(cb_placer_t *placer, order_state_t *state,
			const cb_fleet_server_t *server)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);

	if (state->is_asked || server->layer_from == server->layer_to)
		return;
	if (!state->asked_ms)
		state->asked_ms = now_ms;
	if (now_ms - state->asked_ms < ASK_INTERVAL_MS)
		return;
	state->is_checked = TRUE;
	ask_(placer, state, server->address);
}

/*
 * Whether an engine is lost: entry instances doubt it and it does not answer.
 * Its heartbeats would tell that some seconds later; one that comes after all
 * says that it is there.
 */
static gboolean lost_follow_(cb_placer_t *placer, order_state_t *state,
			     const cb_fleet_server_t *server)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	int64_t waited_ms = now_ms - state->asked_ms;

	if (state->lost_ms && server->heard_ms > state->lost_ms)
		state->lost_ms = 0;
	if (!cb_node_is_doubted(placer->node, server->id))
		state->doubted_ms = 0;
	else if (!state->doubted_ms)
		state->doubted_ms = now_ms;
	if (state->lost_ms || !state->doubted_ms)
		return state->lost_ms != 0;
	if (state->is_asked ? waited_ms >= ASK_DOUBTED_MS :
			      state->is_unanswered &&
				      state->asked_ms >= state->doubted_ms) {
		state->lost_ms = now_ms;
		cb_log_event(placer->log, CB_EVENT_ENGINE_LOST,
			     CB_STR("server", state->start),
			     CB_STR("address", server->address),
			     CB_INT("waited_ms", waited_ms));
	} else if (!state->is_asked && (state->asked_ms < state->doubted_ms ||
					waited_ms >= ASK_DOUBTED_MS)) {
		state->is_checked = TRUE;
		ask_(placer, state, server->address);
	}
	return state->lost_ms != 0;
}

/* Adds a server that requests may still pass, but that is given nothing. */
static void doubtful_add_(GPtrArray *servers, GArray *inputs,
			  const cb_fleet_server_t *server)
{
	const cb_placement_server_t input = {
		.data_centre = server->data_centre,
		.from = server->layer_from,
		.to = server->layer_to,
		.is_degraded = TRUE,
	};

	g_ptr_array_add(servers, (void *)server);
	g_array_append_val(inputs, input);
}

/* The servers of one service, as the placement takes them. */
static GPtrArray *candidates_(cb_placer_t *placer,
			      const cb_service_profile_t *service,
			      GArray *inputs)
{
	const GPtrArray *all = cb_fleet_servers(cb_node_fleet(placer->node));
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	GPtrArray *servers = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		cb_placement_server_t input;
		order_state_t *state;

		if (strcmp(server->service, service->name) != 0)
			continue;
		if (is_doubtful_(placer, server) &&
		    !state_of_(placer, server)->lost_ms) {
			doubtful_add_(servers, inputs, server);
			continue;
		}
		if (!is_candidate_(placer, service->engine, server))
			continue;
		state = state_of_(placer, server);
		state_follow_(state, server, now_ms);
		input = (cb_placement_server_t){
			.data_centre = server->data_centre,
			.memory_mb = cb_engine_profile_kind(service->engine,
							    server->kind)
					     ->memory_mb,
			.from = state->is_pending ? state->from :
						    server->layer_from,
			.to = state->is_pending ? state->to : server->layer_to,
			.accepts_orders =
				!state->is_pending && !state->is_asked,
		};
		pace_check_(placer, state, server);
		if (lost_follow_(placer, state, server))
			continue;
		/* A spare one is to hold its layers as long as it is that slow. */
		if (server->slow_percent >= SLOW_LOST_PERCENT) {
			doubtful_add_(servers, inputs, server);
			continue;
		}
		g_ptr_array_add(servers, (void *)server);
		g_array_append_val(inputs, input);
	}
	return servers;
}

/* Whether the fleet is still coming up, so that a plan would be too early. */
static gboolean is_settling_(cb_placer_t *placer, const GArray *inputs)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	unsigned int i;

	if (inputs->len > placer->known_servers)
		placer->grown_ms = now_ms;
	placer->known_servers = MAX(placer->known_servers, inputs->len);
	for (i = 0; i < inputs->len; i++) {
		const cb_placement_server_t *input =
			&g_array_index(inputs, cb_placement_server_t, i);

		if (input->from != input->to)
			return now_ms - placer->started_ms < HEAR_ALL_MS;
	}
	return now_ms - placer->grown_ms < SETTLE_MS;
}

/* Counts the layers that no server of a data centre offers to requests. */
static unsigned int missing_count_(const GPtrArray *servers, uint32_t layers,
				   const char *data_centre)
{
	gboolean *held = g_new0(gboolean, layers);
	unsigned int missing = 0;
	unsigned int i;
	uint32_t k;

	for (i = 0; i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];

		if (strcmp(server->data_centre, data_centre) != 0 ||
		    server->is_moving)
			continue;
		for (k = server->layer_from; k < MIN(server->layer_to, layers);
		     k++)
			held[k] = TRUE;
	}
	for (k = 0; k < layers; k++)
		missing += !held[k];
	g_free(held);
	return missing;
}

/* Shows how many layers are missing of "SERVICE/DATA CENTRE". */
static void missing_show_(cb_placer_t *placer, const char *of,
			  unsigned int missing)
{
	cb_counter_set(cb_counters_gauge(cb_kernel_counters(placer->kernel),
					 "cb_layers_missing", "of", of),
		       missing);
}

/* Forgets what was told: only the leader knows what is missing. */
static void missing_forget_(cb_placer_t *placer)
{
	GHashTableIter iter;
	void *of;

	g_hash_table_iter_init(&iter, placer->missing);
	while (g_hash_table_iter_next(&iter, &of, NULL))
		missing_show_(placer, of, 0);
	g_hash_table_remove_all(placer->missing);
}

/* Tells when a data centre has lost layers, and when it has them again. */
static void missing_tell_(cb_placer_t *placer,
			  const cb_service_profile_t *service,
			  const char *data_centre, unsigned int missing)
{
	char *key = g_strdup_printf("%s/%s", service->name, data_centre);
	unsigned int told =
		GPOINTER_TO_UINT(g_hash_table_lookup(placer->missing, key));

	if (missing == told) {
		g_free(key);
		return;
	}
	missing_show_(placer, key, missing);
	g_hash_table_insert(placer->missing, key, GUINT_TO_POINTER(missing));
	cb_log_event(placer->log, CB_EVENT_LAYERS_MISSING,
		     CB_STR("service", service->name),
		     CB_STR("data_centre", data_centre),
		     CB_INT("missing", missing));
}

/* Follows what each data centre lacks. */
static void missing_follow_(cb_placer_t *placer,
			    const cb_service_profile_t *service,
			    const GPtrArray *servers)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int i;

	for (i = 0; i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];

		if (g_hash_table_add(seen, server->data_centre))
			missing_tell_(placer, service, server->data_centre,
				      missing_count_(servers,
						     service->engine->layers,
						     server->data_centre));
	}
	g_hash_table_unref(seen);
}

static void service_place_(cb_placer_t *placer,
			   const cb_service_profile_t *service)
{
	GArray *inputs =
		g_array_new(FALSE, FALSE, sizeof(cb_placement_server_t));
	GPtrArray *servers = candidates_(placer, service, inputs);
	GArray *moves;
	unsigned int i;

	missing_follow_(placer, service, servers);
	if (!is_settling_(placer, inputs)) {
		moves = cb_placement_plan(service->engine,
					  (cb_placement_server_t *)inputs->data,
					  inputs->len);
		for (i = 0; i < moves->len; i++) {
			const cb_placement_move_t *move =
				&g_array_index(moves, cb_placement_move_t, i);

			move_(placer, servers->pdata[move->server], move);
		}
		g_array_unref(moves);
	}
	g_ptr_array_unref(servers);
	g_array_unref(inputs);
}

/* Forgets what an earlier lead knew: other leaders may have ordered since. */
static void lead_follow_(cb_placer_t *placer)
{
	uint64_t term = cb_replica_term(cb_node_replica(placer->node));

	if (term == placer->term)
		return;
	placer->term = term;
	g_hash_table_remove_all(placer->states);
	missing_forget_(placer);
}

static void timer_fired_(void *user_data)
{
	cb_placer_t *placer = user_data;
	GHashTableIter iter;
	void *value;

	cb_timer_start(placer->timer, TICK_MS);
	if (!cb_node_leads(placer->node)) {
		missing_forget_(placer);
		return;
	}
	lead_follow_(placer);
	document_follow_(placer);
	if (!placer->document)
		return;
	g_hash_table_iter_init(&iter, placer->document->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((cb_service_profile_t *)value)->engine)
			service_place_(placer, value);
}

static gboolean placer_start_(cb_service_t *service, GError **error)
{
	cb_placer_t *placer = (cb_placer_t *)service;

	(void)error;
	placer->started_ms = cb_clock_now_ms(placer->clock);
	cb_timer_start(placer->timer, TICK_MS);
	return TRUE;
}

static void placer_drain_(cb_service_t *service)
{
	cb_placer_t *placer = (cb_placer_t *)service;

	cb_timer_stop(placer->timer);
	cb_kernel_drained(placer->kernel, service);
}

static void placer_destroy_(cb_service_t *service)
{
	cb_placer_t *placer = (cb_placer_t *)service;

	cb_timer_delete(placer->timer);
	g_hash_table_unref(placer->states);
	g_hash_table_unref(placer->missing);
	cb_document_unref(placer->document);
	g_free(placer);
}

static const cb_service_vtable_t placer_vtable = {
	.start = placer_start_,
	.drain = placer_drain_,
	.destroy = placer_destroy_,
};

/* Makes the placer, which the caller registers; takes none of its parts. */
cb_placer_t *cb_placer_new(cb_kernel_t *kernel, cb_node_t *node,
			   const cb_document_codec_t *codec,
			   cb_engine_orders_t *orders)
{
	cb_placer_t *placer = g_new0(cb_placer_t, 1);

	placer->service.vtable = &placer_vtable;
	placer->kernel = kernel;
	placer->clock = cb_kernel_clock(kernel);
	placer->log = cb_kernel_log(kernel);
	placer->node = node;
	placer->codec = codec;
	placer->orders = orders;
	placer->timer = cb_timer_new(placer->clock, timer_fired_, placer);
	placer->missing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->states = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       state_forget_);
	return placer;
}
