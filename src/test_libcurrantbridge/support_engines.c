#include "support_engines.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define NETWORK_MS 1
#define LATE_ANSWER_MS 400
#define ANNOUNCE_INTERVAL_MS 500
/* Time without an announcement after which a server counts as lost. */
#define SERVER_SILENCE_MS 2000
/* Delay from a state change until the entry instances receive it. */
#define VIEW_UPDATE_MS 100
#define PER_MILLE 1000

typedef enum exchange_kind {
	EXCHANGE_STREAM,
	EXCHANGE_OPEN,
	EXCHANGE_STEP,
	EXCHANGE_MOVE,
	EXCHANGE_PROBE
} exchange_kind_t;

/* An engine's state for one request. */
typedef struct session {
	uint64_t epoch;
	uint64_t next_token; /* index of the next token that the session runs */
	uint64_t max_tokens;
	char *prompt;
	char *previous; /* text of the previous token, or NULL */
} session_t;

/* An exchange of one entry instance with one engine. */
typedef struct exchange {
	support_engines_t *engines;
	support_engine_t *engine;
	support_engine_t *from; /* engine that a MOVE takes the session from */
	exchange_kind_t kind;
	cb_engine_listener_t listener;
	char *request;
	uint64_t epoch;
	uint64_t token; /* index of the token to compute */
	uint64_t max_tokens;
	uint32_t first_layer;
	uint32_t last_layer;
	char *prompt;
	char *previous; /* text of the token before `token`, or NULL */
	char *hidden;	/* hidden state received or computed */
	char *text;	/* computed text of `token`, or NULL */
	gboolean has_previous;
	gboolean is_last;
	/* whether the request never arrives at the engine */
	gboolean is_request_lost;
	/* whether no answer arrives at the entry instance */
	gboolean is_answer_lost;
	gboolean is_closed;
	/* fires when the request arrives at the engine */
	cb_timer_t *arrival_timer;
	/* fires when the engine has computed a token */
	cb_timer_t *work_timer;
	/* fires when the answer arrives at the entry instance */
	cb_timer_t *answer_timer;
	/* fires when the exchange ends with `failure` */
	cb_timer_t *end_timer;
	cb_failure_t failure;
} exchange_t;

static void exchange_delete_(void *data)
{
	exchange_t *exchange = data;

	cb_timer_delete(exchange->arrival_timer);
	cb_timer_delete(exchange->work_timer);
	cb_timer_delete(exchange->answer_timer);
	cb_timer_delete(exchange->end_timer);
	g_free(exchange->request);
	g_free(exchange->prompt);
	g_free(exchange->previous);
	g_free(exchange->hidden);
	g_free(exchange->text);
	g_free(exchange);
}

static void session_delete_(void *data)
{
	session_t *session = data;

	g_free(session->prompt);
	g_free(session->previous);
	g_free(session);
}

/* Draws whether a fault of this probability happens. */
static gboolean fault_draw_(support_engines_t *engines, int per_mille)
{
	return per_mille &&
	       g_rand_int_range(engines->random, 0, PER_MILLE) < per_mille;
}

/* Frees `text` and returns its hash in hexadecimal. */
static char *text_hash_(char *text)
{
	char *hash = g_strdup_printf(
		"%08x", (uint32_t)(XXH3_64bits(text, strlen(text)) >> 32));

	g_free(text);
	return hash;
}

/* Returns the hidden state that is the input of the first layer. */
static char *first_hidden_compute_(const char *prompt, uint64_t token,
				   const char *previous)
{
	return text_hash_(g_strdup_printf("%s|%d|%s", prompt, (int)token,
					  previous ? previous : ""));
}

/* Runs a range of layers; frees `hidden` and returns the new one. */
static char *layers_run_(char *hidden, uint32_t first, uint32_t last)
{
	uint32_t layer;

	for (layer = first; layer <= last; layer++) {
		char *text = g_strdup_printf("%s|%u", hidden, layer);

		g_free(hidden);
		hidden = text_hash_(text);
	}
	return hidden;
}

char *support_expected_answer(const char *prompt, uint64_t token_count)
{
	GString *answer = g_string_new(NULL);
	char *previous = NULL;
	uint64_t token;

	for (token = 0; token < token_count; token++) {
		char *hidden = layers_run_(first_hidden_compute_(prompt, token,
								 previous),
					   0, SUPPORT_LAYERS - 1);

		g_free(previous);
		previous = g_strconcat(hidden, " ", NULL);
		g_string_append(answer, previous);
		g_free(hidden);
	}
	g_free(previous);
	return g_string_free(answer, FALSE);
}

/* Ends an exchange after the network delay, unless it is already ending. */
static void exchange_end_(exchange_t *exchange, cb_failure_t failure)
{
	if (exchange->is_closed || cb_timer_is_armed(exchange->end_timer))
		return;
	exchange->failure = failure;
	cb_timer_start(exchange->end_timer, NETWORK_MS);
}

static void exchange_end_report_(void *user_data)
{
	exchange_t *exchange = user_data;

	if (exchange->is_closed || exchange->is_answer_lost)
		return;
	exchange->is_closed = TRUE;
	exchange->listener.done(exchange->listener.user_data,
				exchange->failure);
}

/* Delivers a token to the entry instance; `mismatch` 1 to 4 alters a field. */
static void token_deliver_(exchange_t *exchange, int mismatch)
{
	cb_engine_token_t token = { .request = exchange->request,
				    .epoch = exchange->epoch,
				    .token = exchange->token,
				    .first_layer = exchange->first_layer,
				    .last_layer = exchange->last_layer,
				    .hidden = exchange->hidden,
				    .text = exchange->text,
				    .is_last = exchange->is_last };

	if (mismatch)
		token.text = token.text ? "crossed " : NULL;
	if (mismatch == 1)
		token.request = "another";
	if (mismatch == 2)
		token.epoch--;
	if (mismatch == 3)
		token.token++;
	if (mismatch == 4)
		token.first_layer++;
	exchange->listener.token(exchange->listener.user_data, &token);
}

static void work_begin_(exchange_t *exchange);

static void answer_deliver_(void *user_data)
{
	exchange_t *exchange = user_data;
	support_engines_t *engines = exchange->engines;

	if (exchange->is_closed || exchange->is_answer_lost)
		return;
	token_deliver_(exchange,
		       fault_draw_(engines, engines->faults.mismatch) ?
			       g_rand_int_range(engines->random, 1, 5) :
			       0);
	if (!exchange->is_closed &&
	    fault_draw_(engines, engines->faults.duplicate))
		token_deliver_(exchange, 0);
	if (exchange->is_closed)
		return;
	if (exchange->kind == EXCHANGE_STEP || exchange->is_last) {
		exchange_end_(exchange, CB_FAILURE_NONE);
		return;
	}
	exchange->token++;
	work_begin_(exchange);
}

static session_t *session_find_(const exchange_t *exchange)
{
	return g_hash_table_lookup(exchange->engine->sessions,
				   exchange->request);
}

/* Called when the engine has run its layers for one token. */
static void work_finish_(void *user_data)
{
	exchange_t *exchange = user_data;
	support_engines_t *engines = exchange->engines;
	support_engine_t *engine = exchange->engine;
	session_t *session = session_find_(exchange);
	gboolean has_last_layer = engine->last_layer == SUPPORT_LAYERS - 1;
	cb_history_event_t event = { .kind = CB_HISTORY_RUN,
				     .request = exchange->request,
				     .server = engine->name,
				     .epoch = exchange->epoch,
				     .token = exchange->token,
				     .first_layer = engine->first_layer,
				     .last_layer = engine->last_layer };
	char *hidden;

	if (!engine->is_alive || !session || session->epoch != exchange->epoch)
		return;
	if (!engine->first_layer) {
		g_free(exchange->hidden);
		exchange->hidden =
			first_hidden_compute_(session->prompt, exchange->token,
					      session->previous);
	}
	hidden = layers_run_(g_steal_pointer(&exchange->hidden),
			     engine->first_layer, engine->last_layer);
	session->next_token++;
	g_clear_pointer(&exchange->text, g_free);
	if (has_last_layer) {
		exchange->text = g_strconcat(hidden, " ", NULL);
		exchange->is_last = session->next_token >= session->max_tokens;
		g_free(hidden);
		g_free(session->previous);
		session->previous = g_strdup(exchange->text);
	} else {
		exchange->hidden = hidden;
	}
	event.text = exchange->text;
	cb_history_record(engines->history, &event);
	cb_timer_start(exchange->answer_timer,
		       fault_draw_(engines, engines->faults.late) ?
			       LATE_ANSWER_MS :
			       NETWORK_MS);
}

static void work_begin_(exchange_t *exchange)
{
	cb_timer_start(exchange->work_timer, exchange->engine->step_ms);
}

/* Opens a session for an order; FALSE if there is one with a newer epoch. */
static gboolean session_open_(exchange_t *exchange)
{
	session_t *session = session_find_(exchange);

	if (session && session->epoch > exchange->epoch)
		return FALSE;
	session = g_new0(session_t, 1);
	session->epoch = exchange->epoch;
	session->next_token = exchange->token;
	session->max_tokens = exchange->max_tokens;
	session->prompt = g_strdup(exchange->prompt);
	session->previous = g_strdup(exchange->previous);
	g_hash_table_insert(exchange->engine->sessions,
			    g_strdup(exchange->request), session);
	return TRUE;
}

/*
 * Moves a session from another engine, if that still has it at the same token.
 */
static gboolean session_move_(exchange_t *exchange)
{
	session_t *old = g_hash_table_lookup(exchange->from->sessions,
					     exchange->request);

	return exchange->from->is_alive && old &&
	       old->next_token == exchange->token && session_open_(exchange);
}

static void step_handle_(exchange_t *exchange)
{
	session_t *session = session_find_(exchange);

	if (!session || session->epoch < exchange->epoch ||
	    session->next_token < exchange->token) {
		exchange_end_(exchange, CB_FAILURE_NO_CONTEXT);
		return;
	}
	if (session->epoch > exchange->epoch ||
	    session->next_token > exchange->token) {
		exchange_end_(exchange, CB_FAILURE_FENCED);
		return;
	}
	if (exchange->has_previous) {
		g_free(session->previous);
		session->previous = g_strdup(exchange->previous);
	}
	work_begin_(exchange);
}

static gboolean prompt_crashes_engine_(const exchange_t *exchange)
{
	const char *crash_text = exchange->engines->crash_text;

	return crash_text && exchange->prompt &&
	       strstr(exchange->prompt, crash_text);
}

static void order_handle_(exchange_t *exchange)
{
	gboolean is_open;

	if (prompt_crashes_engine_(exchange)) {
		support_engine_kill(exchange->engine);
		return;
	}
	is_open = exchange->kind == EXCHANGE_MOVE ? session_move_(exchange) :
						    session_open_(exchange);
	if (!is_open)
		exchange_end_(exchange, CB_FAILURE_FENCED);
	else if (exchange->kind == EXCHANGE_STREAM)
		work_begin_(exchange);
	else
		exchange_end_(exchange, CB_FAILURE_NONE);
}

/* Called when the request has arrived at the engine. */
static void request_handle_(void *user_data)
{
	exchange_t *exchange = user_data;
	support_engine_t *engine = exchange->engine;

	if (exchange->engines->lacks_resources) {
		exchange_end_(exchange, CB_FAILURE_NO_RESOURCES);
		return;
	}
	if (exchange->is_closed || exchange->is_request_lost ||
	    engine->is_silent)
		return;
	if (!engine->is_alive)
		exchange_end_(exchange, CB_FAILURE_CONNECT);
	else if (exchange->kind == EXCHANGE_PROBE)
		exchange_end_(exchange, CB_FAILURE_NONE);
	else if (exchange->kind == EXCHANGE_STEP)
		step_handle_(exchange);
	else
		order_handle_(exchange);
	if (exchange->kind != EXCHANGE_PROBE &&
	    fault_draw_(exchange->engines, exchange->engines->faults.lost))
		exchange_end_(exchange, CB_FAILURE_LOST);
}

static support_engine_t *engine_find_(support_engines_t *engines,
				      const cb_server_t *server)
{
	unsigned int i;

	for (i = 0; i < engines->engines->len; i++) {
		support_engine_t *engine =
			g_ptr_array_index(engines->engines, i);

		if (!strcmp(engine->name, server->name))
			return engine;
	}
	g_assert_not_reached();
}

static exchange_t *exchange_new_(cb_engine_client_t *client,
				 cb_server_t *server, exchange_kind_t kind,
				 const cb_engine_listener_t *listener)
{
	support_engines_t *engines = ((support_entry_t *)client)->engines;
	exchange_t *exchange = g_new0(exchange_t, 1);

	exchange->engines = engines;
	exchange->engine = engine_find_(engines, server);
	exchange->kind = kind;
	exchange->listener = *listener;
	exchange->arrival_timer =
		cb_timer_new(engines->clock, request_handle_, exchange);
	exchange->work_timer =
		cb_timer_new(engines->clock, work_finish_, exchange);
	exchange->answer_timer =
		cb_timer_new(engines->clock, answer_deliver_, exchange);
	exchange->end_timer =
		cb_timer_new(engines->clock, exchange_end_report_, exchange);
	if (kind != EXCHANGE_PROBE &&
	    fault_draw_(engines, engines->faults.silent)) {
		exchange->is_request_lost = g_rand_boolean(engines->random);
		exchange->is_answer_lost = !exchange->is_request_lost;
	}
	g_ptr_array_add(engines->exchanges, exchange);
	cb_timer_start(exchange->arrival_timer, NETWORK_MS);
	return exchange;
}

static exchange_t *order_new_(cb_engine_client_t *client, cb_server_t *server,
			      exchange_kind_t kind,
			      const cb_engine_order_t *order,
			      const cb_engine_listener_t *listener)
{
	exchange_t *exchange = exchange_new_(client, server, kind, listener);
	uint64_t count = order->delivered_count;

	exchange->engine->order_count++;
	exchange->request = g_strdup(order->request);
	exchange->epoch = order->epoch;
	exchange->token = count;
	exchange->max_tokens = order->max_tokens;
	exchange->first_layer = order->first_layer;
	exchange->last_layer = order->last_layer;
	exchange->prompt = g_strdup(order->prompt);
	exchange->previous =
		count ? g_strdup(order->delivered[count - 1]) : NULL;
	return exchange;
}

static cb_exchange_t *engine_stream_(cb_engine_client_t *client,
				     cb_server_t *server,
				     const cb_engine_order_t *order,
				     const cb_engine_listener_t *listener)
{
	return (cb_exchange_t *)order_new_(client, server, EXCHANGE_STREAM,
					   order, listener);
}

static cb_exchange_t *engine_open_(cb_engine_client_t *client,
				   cb_server_t *server,
				   const cb_engine_order_t *order,
				   const cb_engine_listener_t *listener)
{
	return (cb_exchange_t *)order_new_(client, server, EXCHANGE_OPEN, order,
					   listener);
}

static cb_exchange_t *session_move_request_(
	cb_engine_client_t *client, cb_server_t *from, cb_server_t *to,
	const cb_engine_order_t *order, const cb_engine_listener_t *listener)
{
	exchange_t *exchange =
		order_new_(client, to, EXCHANGE_MOVE, order, listener);

	exchange->from = engine_find_(exchange->engines, from);
	return (cb_exchange_t *)exchange;
}

static cb_exchange_t *engine_step_(cb_engine_client_t *client,
				   cb_server_t *server,
				   const cb_engine_step_t *step,
				   const cb_engine_listener_t *listener)
{
	exchange_t *exchange =
		exchange_new_(client, server, EXCHANGE_STEP, listener);

	exchange->request = g_strdup(step->request);
	exchange->epoch = step->epoch;
	exchange->token = step->token;
	exchange->first_layer = step->first_layer;
	exchange->last_layer = step->last_layer;
	exchange->hidden = g_strdup(step->hidden);
	exchange->previous = g_strdup(step->previous);
	exchange->has_previous = step->previous != NULL;
	return (cb_exchange_t *)exchange;
}

static cb_exchange_t *engine_probe_(cb_engine_client_t *client,
				    cb_server_t *server,
				    const cb_engine_listener_t *listener)
{
	return (cb_exchange_t *)exchange_new_(client, server, EXCHANGE_PROBE,
					      listener);
}

static void engine_drop_(cb_engine_client_t *client, cb_server_t *server,
			 const char *request, uint64_t epoch)
{
	support_engines_t *engines = ((support_entry_t *)client)->engines;
	support_engine_t *engine = engine_find_(engines, server);
	session_t *session = g_hash_table_lookup(engine->sessions, request);

	g_ptr_array_add(engines->drop_targets, g_strdup(engine->name));
	if (session && session->epoch <= epoch)
		g_hash_table_remove(engine->sessions, request);
}

static void engine_cancel_(cb_engine_client_t *client, cb_exchange_t *exchange)
{
	(void)client;
	((exchange_t *)exchange)->is_closed = TRUE;
}

static const cb_engine_client_vtable_t engine_client_vtable = {
	.stream = engine_stream_,
	.open = engine_open_,
	.step = engine_step_,
	.move = session_move_request_,
	.probe = engine_probe_,
	.drop = engine_drop_,
	.cancel = engine_cancel_,
};

/* Announces every engine that is alive to every entry instance. */
void support_engines_announce(support_engines_t *engines)
{
	unsigned int i;
	unsigned int j;

	for (i = 0; i < engines->engines->len; i++) {
		support_engine_t *engine =
			g_ptr_array_index(engines->engines, i);
		char *text = g_strdup_printf(
			"{\"name\":\"%s\",\"address\":\"127.0.0.1:1\","
			"\"data_centre\":\"%s\",\"kind\":\"engine\","
			"\"incarnation\":%d,\"state\":\"%s\","
			"\"checks_fencing\":true,\"capacity\":64,"
			"\"load\":{\"running\":0,\"queued\":0},\"models\":"
			"[{\"name\":\"" SUPPORT_MODEL "\",\"first_layer\":%u,"
			"\"last_layer\":%u,\"layers\":%d}]}",
			engine->name, engine->data_centre,
			(int)engine->incarnation,
			engine->is_leaving ? "leaving" : "ready",
			engine->first_layer, engine->last_layer,
			SUPPORT_LAYERS);

		for (j = 0; j < engines->entries->len && engine->is_alive &&
			    !engine->is_silent;
		     j++) {
			support_entry_t *entry =
				g_ptr_array_index(engines->entries, j);

			cb_server_announce(entry->registry, text, NULL);
		}
		g_free(text);
	}
	cb_timer_start(engines->announce_timer, ANNOUNCE_INTERVAL_MS);
}

static void announce_timer_fired_(void *user_data)
{
	support_engines_announce(user_data);
}

/* Updates the view of every entry instance from the control state. */
static void views_update_(void *user_data)
{
	support_engines_t *engines = user_data;
	unsigned int i;

	for (i = 0; i < engines->entries->len; i++) {
		support_entry_t *entry = g_ptr_array_index(engines->entries, i);
		GBytes *update =
			cb_state_encode_update(engines->state,
					       cb_view_revision(entry->view));

		cb_view_apply(entry->view, update);
		g_bytes_unref(update);
	}
}

support_engines_t *support_engines_new(uint32_t seed)
{
	support_engines_t *engines = g_new0(support_engines_t, 1);

	engines->clock = cb_clock_new_paused(1000);
	engines->random = g_rand_new_with_seed(seed);
	engines->engines = g_ptr_array_new();
	engines->entries = g_ptr_array_new();
	engines->exchanges = g_ptr_array_new_with_free_func(exchange_delete_);
	engines->drop_targets = g_ptr_array_new_with_free_func(g_free);
	engines->announce_timer =
		cb_timer_new(engines->clock, announce_timer_fired_, engines);
	engines->view_update_timer =
		cb_timer_new(engines->clock, views_update_, engines);
	engines->state = cb_state_new();
	engines->quarantined_digests = g_ptr_array_new_with_free_func(g_free);
	engines->history_stream = open_memstream(&engines->history_lines,
						 &engines->history_bytes);
	engines->history =
		cb_history_new(engines->clock, engines->history_stream);
	cb_timer_start(engines->announce_timer, 0);
	return engines;
}

support_engine_t *support_engine_add(support_engines_t *engines,
				     const char *name, const char *data_centre,
				     uint32_t first_layer, uint32_t last_layer)
{
	support_engine_t *engine = g_new0(support_engine_t, 1);

	engine->engines = engines;
	engine->name = g_strdup(name);
	engine->data_centre = g_strdup(data_centre);
	engine->first_layer = first_layer;
	engine->last_layer = last_layer;
	engine->step_ms = 10;
	engine->incarnation = 1;
	engine->is_alive = TRUE;
	engine->sessions = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, session_delete_);
	g_ptr_array_add(engines->engines, engine);
	return engine;
}

/* Applies a command to the control state and schedules the views' update. */
static void command_apply_(support_engines_t *engines, cb_command_t *command)
{
	cb_machine_t *machine = cb_state_machine(engines->state);
	GBytes *bytes;

	command->wall_ms = cb_clock_wall_ms(engines->clock);
	bytes = cb_command_encode(command);
	g_bytes_unref(
		machine->vtable->apply(machine, ++engines->state_index, bytes));
	g_bytes_unref(bytes);
	cb_command_delete(command);
	if (!cb_timer_is_armed(engines->view_update_timer))
		cb_timer_start(engines->view_update_timer, VIEW_UPDATE_MS);
}

static void suspect_report_(void *user_data, const char *digest,
			    const char *server)
{
	support_entry_t *entry = user_data;
	cb_command_t *command = cb_command_new(CB_COMMAND_SUSPECT_ADD);

	command->name = g_strdup(digest);
	command->server = g_strdup(server);
	command->owner = g_strdup(entry->name);
	entry->engines->suspect_report_count++;
	command_apply_(entry->engines, command);
}

static void suspect_reports_clear_(void *user_data, const char *digest)
{
	support_entry_t *entry = user_data;
	cb_command_t *command = cb_command_new(CB_COMMAND_QUARANTINE_REMOVE);

	command->name = g_strdup(digest);
	command_apply_(entry->engines, command);
}

static void digest_quarantine_(void *user_data, const char *digest,
			       int64_t until_wall_ms)
{
	support_entry_t *entry = user_data;
	cb_command_t *command = cb_command_new(CB_COMMAND_QUARANTINE_ADD);

	command->name = g_strdup(digest);
	command->until_wall_ms = until_wall_ms;
	command_apply_(entry->engines, command);
	g_ptr_array_add(entry->engines->quarantined_digests, g_strdup(digest));
}

support_entry_t *support_entry_add(support_engines_t *engines)
{
	support_entry_t *entry = g_new0(support_entry_t, 1);
	cb_generation_parts_t parts = { .clock = engines->clock,
					.random = engines->random,
					.engines = &entry->client,
					.data_centre = "dc1",
					.report_suspect = suspect_report_,
					.clear_suspect = suspect_reports_clear_,
					.quarantine = digest_quarantine_,
					.user_data = entry,
					.history = engines->history };

	entry->client.vtable = &engine_client_vtable;
	entry->engines = engines;
	entry->view = cb_view_new();
	entry->name = g_strdup_printf("entry-%u", engines->entries->len);
	parts.instance = entry->name;
	entry->counters = cb_counters_new();
	entry->registry =
		cb_server_registry_new(engines->clock, NULL, entry->counters,
				       entry->view, SERVER_SILENCE_MS);
	parts.view = entry->view;
	parts.counters = entry->counters;
	parts.registry = entry->registry;
	entry->env = cb_generation_env_new(&parts);
	g_ptr_array_add(engines->entries, entry);
	return entry;
}

static void entry_delete_(support_entry_t *entry)
{
	cb_generation_env_delete(entry->env);
	cb_server_registry_delete(entry->registry);
	cb_counters_delete(entry->counters);
	cb_view_delete(entry->view);
	g_free(entry->name);
	g_free(entry);
}

char *support_engines_delete(support_engines_t *engines)
{
	char *lines;
	unsigned int i;

	for (i = 0; i < engines->entries->len; i++)
		entry_delete_(g_ptr_array_index(engines->entries, i));
	for (i = 0; i < engines->engines->len; i++) {
		support_engine_t *engine =
			g_ptr_array_index(engines->engines, i);

		g_hash_table_unref(engine->sessions);
		g_free(engine->name);
		g_free(engine->data_centre);
		g_free(engine);
	}
	g_ptr_array_unref(engines->exchanges);
	g_ptr_array_unref(engines->engines);
	g_ptr_array_unref(engines->entries);
	g_ptr_array_unref(engines->drop_targets);
	g_ptr_array_unref(engines->quarantined_digests);
	cb_timer_delete(engines->announce_timer);
	cb_timer_delete(engines->view_update_timer);
	cb_state_delete(engines->state);
	cb_history_delete(engines->history);
	fclose(engines->history_stream);
	lines = engines->history_lines;
	g_rand_free(engines->random);
	cb_clock_delete(engines->clock);
	g_free(engines);
	return lines;
}

/* Kills an engine's process: closes its connections, loses its sessions. */
void support_engine_kill(support_engine_t *engine)
{
	GPtrArray *exchanges = engine->engines->exchanges;
	unsigned int i;

	engine->is_alive = FALSE;
	engine->death_count++;
	g_hash_table_remove_all(engine->sessions);
	for (i = 0; i < exchanges->len; i++) {
		exchange_t *exchange = g_ptr_array_index(exchanges, i);

		if (exchange->engine == engine)
			exchange_end_(exchange, CB_FAILURE_LOST);
	}
}

void support_engine_restart(support_engine_t *engine)
{
	engine->is_alive = TRUE;
	engine->is_silent = FALSE;
	engine->incarnation++;
}
