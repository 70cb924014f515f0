#include "currantbridge/placer.h"

#include <string.h>

#include "currantbridge/placement.h"

/*
 * Interval of plans; with more servers than PLAN_SERVERS_PER_MS a millisecond
 * of it, the interval is longer.
 */
#define PLAN_INTERVAL_MS 200
#define PLAN_SERVERS_PER_MS 5
/*
 * Shortest interval between two reads of the document: engine profiles change
 * rarely, but documents may change in bursts.
 */
#define DOCUMENT_READ_INTERVAL_MS 2000
/*
 * While no layer is held, the first plan waits until no new server has appeared
 * for this long, so that it covers the whole fleet: heartbeats arrive about
 * once a second.
 */
#define FLEET_SETTLE_MS 1500
/* A process that just started may not have received all heartbeats yet. */
#define FLEET_DISCOVERY_MS 3000
/*
 * Time after an order until a report is requested if the order's layers are not
 * reported.
 */
#define ORDER_TIMEOUT_MS 20000
/*
 * An engine with at least this step time, in percent of the usual one, is
 * degraded, as it delays each of its chains.
 */
#define DEGRADED_SLOW_PERCENT 300
/*
 * Interval of the reports that show whether an engine has become slow, and the
 * most of them that the leader requests in a second: with more engines the
 * interval is longer.
 */
#define REPORT_INTERVAL_MS 2000
#define REPORTS_PER_S 120
/*
 * Interval of the reports of an engine that entry instances suspect, and the
 * timeout after which it counts as lost: stalled streams wait for its layers.
 */
#define SUSPECT_REPORT_TIMEOUT_MS 300
/*
 * An order or a report request without an answer ends after this time: engines
 * answer at once, also if they carry an order out for long.
 */
#define CALL_TIMEOUT_MS 2000
/* Delay before the next call to a server that refused or did not answer. */
#define CALL_RETRY_DELAY_MS 500

const char *const cb_order_outcome_string[CB_ORDER_OUTCOME_COUNT] = {
	[CB_ORDER_ACCEPTED] = "accepted",
	[CB_ORDER_REFUSED] = "refused",
	[CB_ORDER_FENCED] = "fenced",
	[CB_ORDER_LOST] = "lost",
};

/* The state of one server process, as observed by this leader. */
typedef struct engine_state {
	cb_placer_t *placer;
	/* the server process as "ID/BORN", see cb_fleet_start_name() */
	char *start;
	/* Whether an order was given whose layers are not reported yet. */
	gboolean is_order_pending;
	/* Whether an order or a report request waits for its answer. */
	gboolean is_call_in_flight;
	int64_t called_ms;	 /* time of the last order or report request */
	gboolean is_call_order;	 /* whether the call in flight is an order */
	gboolean is_call_unmade; /* whether it is one with CB_REPORT_UNMADE */
	gboolean is_order_count_known; /* whether `accepted_orders` is known */
	/*
	 * Whether the state was removed from `engine_states` while a call was
	 * in flight.
	 */
	gboolean is_removed;
	/* The layers of the last order: first one and end, exclusive. */
	uint32_t ordered_from;
	uint32_t ordered_to;
	/* number of orders that the server has accepted */
	uint64_t accepted_orders;
	int64_t ordered_ms;    /* time of the last order */
	int64_t not_before_ms; /* no move is carried out before this time */
	/*
	 * When a report was last requested, or the first report interval began.
	 */
	int64_t report_requested_ms;
	/* Whether the report in flight was not requested for an order. */
	gboolean is_routine_report;
	gboolean has_report_failed; /* whether the last report request failed */
	/* time from which the engine is suspected; 0: it is not */
	int64_t suspected_since_ms;
	/* time from which the engine counts as lost; 0: it does not */
	int64_t lost_since_ms;
} engine_state_t;

struct cb_placer {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_clock_t *clock;
	cb_log_t *log;
	cb_node_t *node;
	const cb_document_codec_t *codec;
	cb_engine_orders_t *orders;
	cb_timer_t *timer;
	/* configuration document; NULL until the first one was read */
	cb_document_t *document;
	uint64_t document_revision;
	/* time at which reading the document was last tried */
	int64_t document_read_ms;
	/* term of the leader that owns `engine_states` */
	uint64_t term;
	/* "ID/BORN" of a server process to its engine_state_t */
	GHashTable *engine_states;
	/*
	 * "SERVICE/DATA CENTRE" to the number of missing layers last reported.
	 */
	GHashTable *missing_counts;
	unsigned int max_server_count; /* most servers of one service so far */
	/* time at which max_server_count last increased */
	int64_t last_growth_ms;
	int64_t started_ms;
};

static void engine_state_free_(engine_state_t *state)
{
	g_free(state->start);
	g_free(state);
}

/* Frees an engine's state, or has the answer to the call in flight free it. */
static void engine_state_remove_(void *data)
{
	engine_state_t *state = data;

	if (state->is_call_in_flight)
		state->is_removed = TRUE;
	else
		engine_state_free_(state);
}

/* Reads the document in force if its revision has changed. */
static void document_update_(cb_placer_t *placer)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	const cb_document_text_t *text =
		cb_view_document(cb_state_view(cb_node_state(placer->node)));
	cb_document_t *document;
	GError *error = NULL;

	if (!text || text->revision == placer->document_revision ||
	    (placer->document &&
	     now_ms - placer->document_read_ms < DOCUMENT_READ_INTERVAL_MS))
		return;
	placer->document_read_ms = now_ms;
	placer->document_revision = text->revision;
	document = cb_document_decode(placer->codec, text->packed,
				      placer->document, &error);
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

/* Whether a server may be ordered to hold layers. */
static gboolean server_is_eligible_(const cb_placer_t *placer,
				    const cb_engine_profile_t *engine,
				    const cb_fleet_server_t *server)
{
	const cb_view_t *view = cb_state_view(cb_node_state(placer->node));

	if (server->state != CB_FLEET_READY ||
	    !cb_engine_profile_kind(engine, server->kind))
		return FALSE;
	return !cb_fleet_is_stopped(server, view);
}

/* Whether requests may still pass through a server without heartbeats. */
static gboolean silent_server_has_layers_(const cb_placer_t *placer,
					  const cb_fleet_server_t *server)
{
	const cb_view_t *view = cb_state_view(cb_node_state(placer->node));

	return server->state == CB_FLEET_SILENT &&
	       server->layer_from != server->layer_to &&
	       !cb_fleet_is_stopped(server, view);
}

/* Returns the state of a server's current process; creates it if needed. */
static engine_state_t *engine_state_get_(cb_placer_t *placer,
					 const cb_fleet_server_t *server)
{
	char *start = cb_fleet_start_name(server);
	engine_state_t *state =
		g_hash_table_lookup(placer->engine_states, start);

	if (state) {
		g_free(start);
		return state;
	}
	state = g_new0(engine_state_t, 1);
	state->placer = placer;
	state->start = start;
	/* A server without layers has most likely accepted no order yet. */
	state->is_order_count_known = server->layer_from == server->layer_to;
	g_hash_table_insert(placer->engine_states, state->start, state);
	return state;
}

/* Ends a pending order when its layers are reported, or after a timeout. */
static void pending_order_update_(engine_state_t *state,
				  const cb_fleet_server_t *server,
				  int64_t now_ms)
{
	if (!state->is_order_pending || state->is_call_in_flight)
		return;
	if (state->ordered_from == server->layer_from &&
	    state->ordered_to == server->layer_to) {
		state->is_order_pending = FALSE;
	} else if (now_ms - state->ordered_ms >= ORDER_TIMEOUT_MS) {
		state->is_order_pending = FALSE;
		state->is_order_count_known = FALSE;
		cb_fleet_set_moving(cb_node_fleet(state->placer->node),
				    server->id, FALSE);
	}
}

/* Returns the ID of the server that a state belongs to; to be freed. */
static char *server_id_extract_(const engine_state_t *state)
{
	const char *slash = strrchr(state->start, '/');

	return g_strndup(state->start, (size_t)(slash - state->start));
}

/* Records how slow a server is; the fleet reports it to entry instances. */
static void server_slowness_record_(const engine_state_t *state,
				    uint32_t slow_percent)
{
	char *id = server_id_extract_(state);

	cb_fleet_set_slow_percent(cb_node_fleet(state->placer->node), id,
				  slow_percent);
	g_free(id);
}

/* Records that an order or a report request was sent. */
static void call_begin_(engine_state_t *state, gboolean is_order)
{
	state->is_call_in_flight = TRUE;
	state->is_call_order = is_order;
	state->is_call_unmade = FALSE;
	state->called_ms = cb_clock_now_ms(state->placer->clock);
}

/*
 * Called with a server's report, NULL if there was no answer.  A call that this
 * process could not make shows nothing: it stays in flight until its time is over.
 */
static void report_receive_(cb_report_result_t result,
			    const cb_engine_report_t *report, void *user_data)
{
	engine_state_t *state = user_data;
	cb_placer_t *placer = state->placer;

	if (result == CB_REPORT_UNMADE && !state->is_removed) {
		state->is_call_unmade = TRUE;
		return;
	}
	state->is_call_in_flight = FALSE;
	if (state->is_removed) {
		engine_state_free_(state);
		return;
	}
	if (!state->is_routine_report)
		state->not_before_ms =
			cb_clock_now_ms(placer->clock) + CALL_RETRY_DELAY_MS;
	state->is_routine_report = FALSE;
	state->has_report_failed = !report;
	if (report)
		server_slowness_record_(state, report->slow_percent);
	if (!report || report->is_busy || state->is_order_pending)
		return;
	state->is_order_count_known = TRUE;
	state->accepted_orders = report->accepted_orders;
	state->not_before_ms = 0;
}

/*
 * Marks a server as moving if it gives up its current layers: they then get no
 * new requests.
 */
static void moving_server_mark_(const engine_state_t *state)
{
	cb_fleet_t *fleet = cb_node_fleet(state->placer->node);
	char *id = server_id_extract_(state);
	const cb_fleet_server_t *server = cb_fleet_find(fleet, id);

	if (server && server->layer_from != server->layer_to &&
	    (server->layer_from != state->ordered_from ||
	     server->layer_to != state->ordered_to))
		cb_fleet_set_moving(fleet, id, TRUE);
	g_free(id);
}

/* Called with the outcome of an order. */
static void order_answer_receive_(cb_order_outcome_t outcome, void *user_data)
{
	engine_state_t *state = user_data;
	cb_placer_t *placer = state->placer;

	state->is_call_in_flight = FALSE;
	if (state->is_removed) {
		engine_state_free_(state);
		return;
	}
	cb_log_event(placer->log, CB_EVENT_LAYERS_ANSWERED,
		     CB_STR("server", state->start),
		     CB_STR("outcome", cb_order_outcome_string[outcome]));
	if (outcome == CB_ORDER_ACCEPTED) {
		state->accepted_orders++;
		moving_server_mark_(state);
		return;
	}
	state->is_order_pending = FALSE;
	/*
	 * A lost order is repeated at once: the number of orders that it
	 * expects lets the server carry out only the one that arrives first.
	 */
	if (outcome == CB_ORDER_LOST)
		return;
	state->not_before_ms =
		cb_clock_now_ms(placer->clock) + CALL_RETRY_DELAY_MS;
	state->is_order_count_known = FALSE;
}

/*
 * Ends a call that has got no answer in time.  An order may still be carried out:
 * the number of orders that it expects lets the server accept it only once.
 */
static void late_call_end_(engine_state_t *state)
{
	cb_engine_orders_t *orders = state->placer->orders;

	if (!state->is_call_in_flight ||
	    cb_clock_now_ms(state->placer->clock) - state->called_ms <
		    CALL_TIMEOUT_MS)
		return;
	if (state->is_call_unmade) {
		state->is_call_in_flight = FALSE;
		state->is_routine_report = FALSE;
		return;
	}
	orders->vtable->cancel(orders, state);
	if (state->is_call_order)
		order_answer_receive_(CB_ORDER_LOST, state);
	else
		report_receive_(CB_REPORT_TIMEOUT, NULL, state);
}

/* Ends the calls to all engines that have got no answer in time. */
static void late_calls_end_(cb_placer_t *placer)
{
	GHashTableIter iter;
	void *state;

	g_hash_table_iter_init(&iter, placer->engine_states);
	while (g_hash_table_iter_next(&iter, NULL, &state))
		late_call_end_(state);
}

/* Requests a report from a server. */
static void report_request_(cb_placer_t *placer, engine_state_t *state,
			    const char *address)
{
	call_begin_(state, FALSE);
	state->report_requested_ms = state->called_ms;
	placer->orders->vtable->report(placer->orders, address, report_receive_,
				       state);
}

/* Orders a server to hold the layers of a move. */
static void order_send_(cb_placer_t *placer, engine_state_t *state,
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

	state->ordered_from = move->from;
	state->ordered_to = move->to;
	state->is_order_pending = TRUE;
	call_begin_(state, TRUE);
	state->ordered_ms = state->called_ms;
	cb_log_event(placer->log, CB_EVENT_LAYERS_ORDERED,
		     CB_STR("server", state->start),
		     CB_STR("address", server->address),
		     CB_INT("from", order.from), CB_INT("to", order.to),
		     CB_INT("fence", order.fencing),
		     CB_INT("orders", order.expected_orders));
	placer->orders->vtable->place(placer->orders, &order,
				      order_answer_receive_, state);
}

/*
 * Carries out a move; requests a report first if the number of orders that the
 * server has accepted is not known.
 */
static void move_carry_out_(cb_placer_t *placer,
			    const cb_fleet_server_t *server,
			    const cb_placement_move_t *move)
{
	engine_state_t *state = engine_state_get_(placer, server);

	if (state->is_call_in_flight ||
	    cb_clock_now_ms(placer->clock) < state->not_before_ms)
		return;
	if (state->is_order_count_known)
		order_send_(placer, state, server, move);
	else
		report_request_(placer, state, server->address);
}

/* Returns how many servers the fleet has. */
static unsigned int servers_count_(const cb_placer_t *placer)
{
	return cb_fleet_servers(cb_node_fleet(placer->node))->len;
}

/* Returns the interval of the routine reports of one engine, in ms. */
static int64_t report_interval_compute_ms_(const cb_placer_t *placer)
{
	return MAX(REPORT_INTERVAL_MS,
		   (int64_t)servers_count_(placer) * 1000 / REPORTS_PER_S);
}

/* Requests a report at intervals, which shows whether a server is slow. */
static void routine_report_request_(cb_placer_t *placer, engine_state_t *state,
				    const cb_fleet_server_t *server)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);

	if (state->is_call_in_flight || server->layer_from == server->layer_to)
		return;
	if (!state->report_requested_ms)
		state->report_requested_ms = now_ms;
	if (now_ms - state->report_requested_ms <
	    report_interval_compute_ms_(placer))
		return;
	state->is_routine_report = TRUE;
	report_request_(placer, state, server->address);
}

/*
 * Updates and returns whether an engine is lost: entry instances suspect it and
 * it does not answer a report request.  Missing heartbeats would show that only
 * some seconds later.  A heartbeat that arrives afterwards ends the state.
 */
static gboolean lost_engine_update_(cb_placer_t *placer, engine_state_t *state,
				    const cb_fleet_server_t *server)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	int64_t waited_ms = now_ms - state->report_requested_ms;

	if (state->lost_since_ms &&
	    server->last_heartbeat_ms > state->lost_since_ms)
		state->lost_since_ms = 0;
	if (!cb_node_is_server_suspected(placer->node, server->id))
		state->suspected_since_ms = 0;
	else if (!state->suspected_since_ms)
		state->suspected_since_ms = now_ms;
	if (state->lost_since_ms || !state->suspected_since_ms)
		return state->lost_since_ms != 0;
	if (state->is_call_in_flight ?
		    waited_ms >= SUSPECT_REPORT_TIMEOUT_MS :
		    state->has_report_failed &&
			    state->report_requested_ms >=
				    state->suspected_since_ms) {
		state->lost_since_ms = now_ms;
		cb_log_event(placer->log, CB_EVENT_ENGINE_LOST,
			     CB_STR("server", state->start),
			     CB_STR("address", server->address),
			     CB_INT("waited_ms", waited_ms));
		cb_fleet_set_silent(cb_node_fleet(placer->node), server->id);
	} else if (!state->is_call_in_flight &&
		   (state->report_requested_ms < state->suspected_since_ms ||
		    waited_ms >= SUSPECT_REPORT_TIMEOUT_MS)) {
		state->is_routine_report = TRUE;
		report_request_(placer, state, server->address);
	}
	return state->lost_since_ms != 0;
}

/* Adds a server that requests may still pass through, but gets no layers. */
static void degraded_server_add_(GPtrArray *servers, GArray *inputs,
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

/*
 * Returns the servers of one service and appends the inputs of the plan, in the
 * same order.  Also updates the state of each engine.
 */
static GPtrArray *placement_inputs_collect_(cb_placer_t *placer,
					    const cb_service_profile_t *service,
					    GArray *inputs)
{
	const GPtrArray *fleet_servers =
		cb_fleet_servers(cb_node_fleet(placer->node));
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	GPtrArray *servers = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < fleet_servers->len; i++) {
		const cb_fleet_server_t *server = fleet_servers->pdata[i];
		cb_placement_server_t input;
		engine_state_t *state;

		if (strcmp(server->service, service->name) != 0)
			continue;
		if (silent_server_has_layers_(placer, server) &&
		    !engine_state_get_(placer, server)->lost_since_ms) {
			degraded_server_add_(servers, inputs, server);
			continue;
		}
		if (!server_is_eligible_(placer, service->engine, server))
			continue;
		state = engine_state_get_(placer, server);
		pending_order_update_(state, server, now_ms);
		input = (cb_placement_server_t){
			.data_centre = server->data_centre,
			.memory_mb = cb_engine_profile_kind(service->engine,
							    server->kind)
					     ->memory_mb,
			.from = state->is_order_pending ? state->ordered_from :
							  server->layer_from,
			.to = state->is_order_pending ? state->ordered_to :
							server->layer_to,
			.accepts_orders = !state->is_order_pending &&
					  !state->is_call_in_flight,
		};
		routine_report_request_(placer, state, server);
		if (lost_engine_update_(placer, state, server))
			continue;
		/* A spare server takes over its layers while it is slow. */
		if (server->slow_percent >= DEGRADED_SLOW_PERCENT) {
			degraded_server_add_(servers, inputs, server);
			continue;
		}
		g_ptr_array_add(servers, (void *)server);
		g_array_append_val(inputs, input);
	}
	return servers;
}

/* Whether servers are still appearing, so that a plan would be premature. */
static gboolean fleet_is_settling_(cb_placer_t *placer, const GArray *inputs)
{
	int64_t now_ms = cb_clock_now_ms(placer->clock);
	unsigned int i;

	if (inputs->len > placer->max_server_count)
		placer->last_growth_ms = now_ms;
	placer->max_server_count = MAX(placer->max_server_count, inputs->len);
	for (i = 0; i < inputs->len; i++) {
		const cb_placement_server_t *input =
			&g_array_index(inputs, cb_placement_server_t, i);

		if (input->from != input->to)
			return now_ms - placer->started_ms < FLEET_DISCOVERY_MS;
	}
	return now_ms - placer->last_growth_ms < FLEET_SETTLE_MS;
}

/* Counts the layers that no server of a data centre has for new requests. */
static unsigned int missing_layers_count_(const GPtrArray *servers,
					  uint32_t layers,
					  const char *data_centre)
{
	gboolean *is_held = g_new0(gboolean, layers);
	unsigned int missing_layers = 0;
	unsigned int i;
	uint32_t k;

	for (i = 0; i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];

		if (strcmp(server->data_centre, data_centre) != 0 ||
		    server->is_moving)
			continue;
		for (k = server->layer_from; k < MIN(server->layer_to, layers);
		     k++)
			is_held[k] = TRUE;
	}
	for (k = 0; k < layers; k++)
		missing_layers += !is_held[k];
	g_free(is_held);
	return missing_layers;
}

/* Sets the gauge of missing layers; `key` is "SERVICE/DATA CENTRE". */
static void missing_gauge_set_(cb_placer_t *placer, const char *key,
			       unsigned int missing_layers)
{
	cb_counter_set(cb_counters_gauge(cb_kernel_counters(placer->kernel),
					 "cb_layers_missing", "of", key),
		       missing_layers);
}

/* Resets all gauges of missing layers: only the leader reports them. */
static void missing_gauges_reset_(cb_placer_t *placer)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, placer->missing_counts);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		missing_gauge_set_(placer, key, 0);
	g_hash_table_remove_all(placer->missing_counts);
}

/* Reports a changed number of missing layers by gauge and event. */
static void missing_layers_report_(cb_placer_t *placer,
				   const cb_service_profile_t *service,
				   const char *data_centre,
				   unsigned int missing_layers)
{
	char *key = g_strdup_printf("%s/%s", service->name, data_centre);
	unsigned int reported = GPOINTER_TO_UINT(
		g_hash_table_lookup(placer->missing_counts, key));

	if (missing_layers == reported) {
		g_free(key);
		return;
	}
	missing_gauge_set_(placer, key, missing_layers);
	g_hash_table_insert(placer->missing_counts, key,
			    GUINT_TO_POINTER(missing_layers));
	cb_log_event(placer->log, CB_EVENT_LAYERS_MISSING,
		     CB_STR("service", service->name),
		     CB_STR("data_centre", data_centre),
		     CB_INT("missing", missing_layers));
}

/* Reports the missing layers of each data centre where they changed. */
static void missing_layers_update_(cb_placer_t *placer,
				   const cb_service_profile_t *service,
				   const GPtrArray *servers)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int i;

	for (i = 0; i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];

		if (g_hash_table_add(seen, server->data_centre))
			missing_layers_report_(
				placer, service, server->data_centre,
				missing_layers_count_(servers,
						      service->engine->layers,
						      server->data_centre));
	}
	g_hash_table_unref(seen);
}

/* Plans the layers of one service and carries out the moves. */
static void service_place_(cb_placer_t *placer,
			   const cb_service_profile_t *service)
{
	GArray *inputs =
		g_array_new(FALSE, FALSE, sizeof(cb_placement_server_t));
	GPtrArray *servers = placement_inputs_collect_(placer, service, inputs);
	GArray *moves;
	unsigned int i;

	missing_layers_update_(placer, service, servers);
	if (!fleet_is_settling_(placer, inputs)) {
		moves = cb_placement_plan(service->engine,
					  (cb_placement_server_t *)inputs->data,
					  inputs->len);
		for (i = 0; i < moves->len; i++) {
			const cb_placement_move_t *move =
				&g_array_index(moves, cb_placement_move_t, i);

			move_carry_out_(placer, servers->pdata[move->server],
					move);
		}
		g_array_unref(moves);
	}
	g_ptr_array_unref(servers);
	g_array_unref(inputs);
}

/* Drops the state of an earlier term: other leaders may have given orders. */
static void term_update_(cb_placer_t *placer)
{
	uint64_t term = cb_replica_term(cb_node_replica(placer->node));

	if (term == placer->term)
		return;
	placer->term = term;
	g_hash_table_remove_all(placer->engine_states);
	missing_gauges_reset_(placer);
}

/* Plans all services that have engines, if this instance is the leader. */
static void timer_fired_(void *user_data)
{
	cb_placer_t *placer = user_data;
	GHashTableIter iter;
	void *value;

	cb_timer_start(placer->timer,
		       MAX(PLAN_INTERVAL_MS,
			   servers_count_(placer) / PLAN_SERVERS_PER_MS));
	if (!cb_node_leads(placer->node)) {
		missing_gauges_reset_(placer);
		return;
	}
	term_update_(placer);
	late_calls_end_(placer);
	document_update_(placer);
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
	cb_timer_start(placer->timer, PLAN_INTERVAL_MS);
	return TRUE;
}

static void placer_drain_(cb_service_t *service)
{
	cb_placer_t *placer = (cb_placer_t *)service;

	cb_timer_stop(placer->timer);
	cb_kernel_service_drained(placer->kernel, service);
}

static void placer_destroy_(cb_service_t *service)
{
	cb_placer_t *placer = (cb_placer_t *)service;

	cb_timer_delete(placer->timer);
	g_hash_table_unref(placer->engine_states);
	g_hash_table_unref(placer->missing_counts);
	cb_document_unref(placer->document);
	g_free(placer);
}

static const cb_service_vtable_t placer_vtable = {
	.start = placer_start_,
	.drain = placer_drain_,
	.destroy = placer_destroy_,
};

/*
 * Creates the placer, which the caller registers with the kernel.  Takes
 * ownership of none of the arguments.
 */
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
	placer->missing_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->engine_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      engine_state_remove_);
	return placer;
}
