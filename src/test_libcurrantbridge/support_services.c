#include "support_services.h"

#include <stdlib.h>
#include <string.h>

#define NETWORK_MS 1
#define COMMIT_MS 10
#define LATE_MS 700
#define REPORT_MS 200
#define SILENCE_MS 2000
#define GONE_MS 1000
#define PER_MILLE 1000

/* What a server that checks fencing knows of a key. */
typedef struct known_key {
	uint64_t fencing;
	gboolean is_executed;
	char *body;
} known_key_t;

typedef enum event_kind {
	SEND,
	FENCE,
	SUBMIT,
	GONE
} event_kind_t;

/* A call, fence or command on its way, or the notice of a silence. */
typedef struct event {
	support_services_t *services;
	support_desk_t *desk;
	support_service_t *service;
	event_kind_t kind;
	cb_service_listener_t listener;
	cb_fence_listener_t fence;
	char *request;
	char *key;
	char *body;
	uint64_t fencing;
	cb_failure_t failure;
	cb_fence_result_t result;
	cb_service_answer_t answer;
	cb_command_t *command;
	cb_ledger_fn_t done;
	void *user_data;
	cb_ledger_outcome_t outcome;
	cb_answer_t *claim;
	gboolean is_closed;
	gboolean is_silent;
	gboolean is_lost_after;
	char *owner; /* of a GONE */
	cb_timer_t *arrival;
	cb_timer_t *work;
	cb_timer_t *end;
} event_t;

static void event_delete_(void *data)
{
	event_t *event = data;

	cb_timer_delete(event->arrival);
	cb_timer_delete(event->work);
	cb_timer_delete(event->end);
	cb_command_delete(event->command);
	if (event->claim)
		cb_answer_delete(event->claim);
	g_clear_pointer(&event->answer.body, g_bytes_unref);
	g_free(event->request);
	g_free(event->key);
	g_free(event->body);
	g_free(event->owner);
	g_free(event);
}

static void key_delete_(void *data)
{
	g_free(((known_key_t *)data)->body);
	g_free(data);
}

static gboolean chance_(support_services_t *services, int per_mille)
{
	return per_mille &&
	       g_rand_int_range(services->random, 0, PER_MILLE) < per_mille;
}

static void end_(event_t *event, int64_t delay_ms)
{
	if (!cb_timer_is_armed(event->end))
		cb_timer_start(event->end, delay_ms);
}

static void end_due_(void *user_data)
{
	event_t *event = user_data;
	gboolean has_answer = event->answer.body != NULL;

	if (event->is_closed || event->is_silent)
		return;
	event->is_closed = TRUE;
	if (event->kind == SEND)
		event->listener.done(event->listener.user_data, event->failure,
				     event->failure ? NULL : &event->answer);
	else if (event->kind == FENCE)
		event->fence.done(event->fence.user_data, event->result,
				  has_answer ? &event->answer : NULL);
	else
		event->done(event->outcome, event->claim, event->user_data);
}

static void fail_(event_t *event, cb_failure_t failure)
{
	event->failure = failure;
	end_(event, NETWORK_MS);
}

static known_key_t *key_get_(event_t *event)
{
	known_key_t *key =
		g_hash_table_lookup(event->service->keys, event->key);

	if (!key) {
		key = g_new0(known_key_t, 1);
		g_hash_table_insert(event->service->keys, g_strdup(event->key),
				    key);
	}
	return key;
}

static void answer_set_(event_t *event, const char *body)
{
	event->answer.status = 200;
	event->answer.content_type = (char *)"text/plain";
	event->answer.body = g_bytes_new(body, strlen(body));
}

/* The service executes a call. */
static void work_done_(void *user_data)
{
	event_t *event = user_data;
	cb_history_event_t effect = { .kind = CB_HISTORY_EFFECT,
				      .request = event->request,
				      .workspace = "w",
				      .server = event->service->name,
				      .key = event->key };

	if (!event->service->is_alive)
		return;
	if (event->key) {
		cb_history_record(event->services->history, &effect);
		event->services->effects++;
	}
	answer_set_(event, event->body);
	if (event->is_lost_after)
		fail_(event, CB_FAILURE_LOST);
	else
		end_(event, NETWORK_MS);
}

/* A call has arrived; a server that checks fencing runs a key once. */
static void send_arrive_(event_t *event)
{
	support_service_t *service = event->service;
	known_key_t *key;

	service->calls++;
	if (service->checks_fencing && event->key) {
		key = key_get_(event);
		if (key->is_executed || event->fencing < key->fencing) {
			fail_(event, CB_FAILURE_FENCED);
			return;
		}
		/* What it has begun counts as executed for a fence. */
		key->fencing = event->fencing;
		key->is_executed = TRUE;
		key->body = g_strdup(event->body);
	}
	cb_timer_start(event->work, service->work_ms);
}

static void fence_arrive_(event_t *event)
{
	known_key_t *key = key_get_(event);

	key->fencing = MAX(key->fencing, event->fencing);
	event->result =
		key->is_executed ? CB_FENCE_EXECUTED : CB_FENCE_NOT_EXECUTED;
	if (key->is_executed)
		answer_set_(event, key->body);
	end_(event, NETWORK_MS);
}

/* Applies a command to the replicated state. */
static cb_answer_t *command_apply_(support_services_t *services,
				   cb_command_t *command)
{
	cb_machine_t *machine = cb_state_machine(services->state);
	cb_answer_t *answer;
	GBytes *bytes;
	GBytes *reply;

	command->wall_ms = cb_clock_wall_ms(services->clock);
	bytes = cb_command_encode(command);
	reply = machine->vtable->apply(machine, ++services->index, bytes);
	answer = cb_answer_decode(reply);
	g_bytes_unref(bytes);
	g_bytes_unref(reply);
	return answer;
}

/* Tells the state of an entry instance's process; `wanted` or silent. */
static void instance_tell_(support_services_t *services, const char *name,
			   uint64_t incarnation, gboolean is_up)
{
	cb_command_t *command = cb_command_new(
		is_up ? CB_COMMAND_INSTANCE_UP : CB_COMMAND_INSTANCE_STATE);

	command->name = g_strdup(name);
	command->address = g_strdup("127.0.0.1:1");
	command->data_centre = g_strdup("dc1");
	command->incarnation = incarnation;
	command->instance_state =
		is_up ? CB_INSTANCE_READY : CB_INSTANCE_SILENT;
	cb_answer_delete(command_apply_(services, command));
	cb_command_delete(command);
}

static void submit_arrive_(event_t *event)
{
	support_services_t *services = event->services;
	support_call_faults_t *faults = &services->faults;
	gboolean is_lost;

	event->outcome = CB_LEDGER_UNAVAILABLE;
	if (chance_(services, faults->unavailable)) {
		end_(event, NETWORK_MS);
		return;
	}
	event->outcome = CB_LEDGER_UNKNOWN;
	is_lost = chance_(services, faults->answer_lost);
	if (is_lost || !chance_(services, faults->not_submitted)) {
		event->claim = command_apply_(services, event->command);
		if (!is_lost)
			event->outcome = CB_LEDGER_ANSWERED;
	}
	end_(event, COMMIT_MS);
}

static void arrive_(void *user_data)
{
	event_t *event = user_data;

	if (event->kind == SUBMIT) {
		submit_arrive_(event);
	} else if (event->kind == GONE) {
		instance_tell_(event->services, event->desk->name,
			       event->desk->incarnation, TRUE);
	} else if (!event->service->is_alive) {
		event->result = CB_FENCE_UNKNOWN;
		fail_(event, CB_FAILURE_CONNECT);
	} else if (event->kind == SEND) {
		send_arrive_(event);
	} else {
		fence_arrive_(event);
	}
}

static event_t *event_new_(support_desk_t *desk, event_kind_t kind)
{
	support_services_t *services = desk->services;
	event_t *event = g_new0(event_t, 1);

	event->services = services;
	event->desk = desk;
	event->kind = kind;
	event->arrival = cb_timer_new(services->clock, arrive_, event);
	event->work = cb_timer_new(services->clock, work_done_, event);
	event->end = cb_timer_new(services->clock, end_due_, event);
	g_ptr_array_add(services->events, event);
	return event;
}

static support_service_t *service_find_(support_services_t *services,
					const char *name)
{
	unsigned int i;

	for (i = 0; i < services->services->len; i++) {
		support_service_t *service =
			g_ptr_array_index(services->services, i);

		if (!strcmp(service->name, name))
			return service;
	}
	g_assert_not_reached();
}

static cb_exchange_t *send_(cb_service_client_t *client, cb_server_t *server,
			    const cb_service_request_t *request,
			    const cb_service_listener_t *listener)
{
	event_t *event = event_new_((support_desk_t *)client, SEND);
	support_services_t *services = event->services;
	support_call_faults_t *faults = &services->faults;
	gsize size;
	const char *body = g_bytes_get_data(request->body, &size);

	event->service = service_find_(services, server->name);
	event->listener = *listener;
	event->request = g_strdup(request->request);
	event->key = g_strdup(request->key);
	event->body = g_strndup(body, size);
	event->fencing = request->fencing;
	if (chance_(services, faults->lost_before)) {
		fail_(event, CB_FAILURE_LOST);
		return (cb_exchange_t *)event;
	}
	if (chance_(services, faults->busy)) {
		fail_(event, CB_FAILURE_REFUSED);
		return (cb_exchange_t *)event;
	}
	event->is_silent = chance_(services, faults->silent);
	event->is_lost_after = chance_(services, faults->lost_after);
	if (chance_(services, faults->late)) {
		/* Lost for the caller, on its way for the service. */
		fail_(event, CB_FAILURE_LOST);
		cb_timer_start(event->arrival, LATE_MS);
		return (cb_exchange_t *)event;
	}
	cb_timer_start(event->arrival, NETWORK_MS);
	return (cb_exchange_t *)event;
}

static cb_exchange_t *fence_(cb_service_client_t *client, cb_server_t *server,
			     const char *key, uint64_t fencing,
			     const cb_fence_listener_t *listener)
{
	event_t *event = event_new_((support_desk_t *)client, FENCE);

	event->service = service_find_(event->services, server->name);
	g_assert(event->service->checks_fencing);
	event->fence = *listener;
	event->key = g_strdup(key);
	event->fencing = fencing;
	event->is_silent =
		chance_(event->services, event->services->faults.fence_lost);
	cb_timer_start(event->arrival, NETWORK_MS);
	return (cb_exchange_t *)event;
}

static void cancel_(cb_service_client_t *client, cb_exchange_t *exchange)
{
	(void)client;
	((event_t *)exchange)->is_closed = TRUE;
}

static void submit_(cb_ledger_t *ledger, cb_command_t *command,
		    int64_t timeout_ms, cb_ledger_fn_t done, void *user_data)
{
	support_desk_t *desk =
		(support_desk_t *)((char *)ledger -
				   offsetof(support_desk_t, ledger));
	event_t *event = event_new_(desk, SUBMIT);

	(void)timeout_ms;
	event->command = command;
	event->done = done;
	event->user_data = user_data;
	cb_timer_start(event->arrival, COMMIT_MS);
}

static const cb_service_client_vtable_t client_vtable = {
	.send = send_,
	.fence = fence_,
	.cancel = cancel_,
};

static const cb_ledger_vtable_t ledger_vtable = { .submit = submit_ };

void support_services_report(support_services_t *services)
{
	unsigned int i;
	unsigned int j;

	for (i = 0; i < services->services->len; i++) {
		support_service_t *service =
			g_ptr_array_index(services->services, i);
		char *text = g_strdup_printf(
			"{\"name\":\"%s\",\"address\":\"127.0.0.1:1\","
			"\"data_centre\":\"dc1\",\"kind\":\"service\","
			"\"incarnation\":1,\"state\":\"%s\","
			"\"checks_fencing\":%s,\"capacity\":64,"
			"\"load\":{\"running\":0,\"queued\":0},"
			"\"services\":[\"booking\"]}",
			service->name,
			service->is_leaving ? "leaving" : "ready",
			service->checks_fencing ? "true" : "false");

		for (j = 0; j < services->desks->len && service->is_alive;
		     j++) {
			support_desk_t *desk =
				g_ptr_array_index(services->desks, j);

			cb_server_announce(desk->registry, text, NULL);
		}
		g_free(text);
	}
	cb_timer_start(services->report_timer, REPORT_MS);
}

static void report_due_(void *user_data)
{
	support_services_report(user_data);
}

support_services_t *support_services_new(uint32_t seed)
{
	support_services_t *services = g_new0(support_services_t, 1);

	services->clock = cb_clock_new_paused(1000);
	services->random = g_rand_new_with_seed(seed);
	services->services = g_ptr_array_new();
	services->desks = g_ptr_array_new();
	services->events = g_ptr_array_new_with_free_func(event_delete_);
	services->report_timer =
		cb_timer_new(services->clock, report_due_, services);
	services->state = cb_state_new();
	services->stream = open_memstream(&services->lines, &services->size);
	services->history = cb_history_new(services->clock, services->stream);
	cb_timer_start(services->report_timer, 0);
	return services;
}

support_service_t *support_service_add(support_services_t *services,
				       const char *name,
				       gboolean checks_fencing)
{
	support_service_t *service = g_new0(support_service_t, 1);

	service->name = g_strdup(name);
	service->checks_fencing = checks_fencing;
	service->is_alive = TRUE;
	service->work_ms = 20;
	service->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      key_delete_);
	g_ptr_array_add(services->services, service);
	return service;
}

/* Starts the process of an entry instance. */
static void desk_start_(support_desk_t *desk)
{
	support_services_t *services = desk->services;
	cb_call_parts_t parts = { .clock = services->clock,
				  .random = services->random,
				  .services = &desk->client,
				  .ledger = &desk->ledger,
				  .data_centre = "dc1",
				  .history = services->history };

	desk->incarnation++;
	g_free(desk->owner);
	desk->owner =
		g_strdup_printf("%s/%d", desk->name, (int)desk->incarnation);
	parts.counters = desk->counters;
	parts.registry = desk->registry;
	parts.owner = desk->owner;
	desk->env = cb_call_env_new(&parts);
}

support_desk_t *support_desk_add(support_services_t *services)
{
	support_desk_t *desk = g_new0(support_desk_t, 1);

	desk->client.vtable = &client_vtable;
	desk->ledger.vtable = &ledger_vtable;
	desk->services = services;
	desk->name = g_strdup_printf("entry-%u", services->desks->len);
	desk->view = cb_view_new();
	desk->counters = cb_counters_new();
	desk->registry =
		cb_server_registry_new(services->clock, NULL, desk->counters,
				       desk->view, SILENCE_MS);
	g_ptr_array_add(services->desks, desk);
	desk_start_(desk);
	instance_tell_(services, desk->name, desk->incarnation, TRUE);
	return desk;
}

/* Ends the process of an entry instance: no one hears of its calls. */
static void desk_stop_(support_desk_t *desk)
{
	GPtrArray *events = desk->services->events;
	unsigned int i;

	cb_call_env_delete(desk->env);
	for (i = 0; i < events->len; i++) {
		event_t *event = g_ptr_array_index(events, i);

		if (event->desk != desk || event->is_closed)
			continue;
		event->is_closed = TRUE;
		if (event->kind == SUBMIT)
			g_free(event->user_data);
	}
}

void support_desk_kill(support_desk_t *desk)
{
	event_t *gone;

	desk_stop_(desk);
	desk_start_(desk);
	gone = event_new_(desk, GONE);
	cb_timer_start(gone->arrival, GONE_MS);
}

char *support_services_delete(support_services_t *services)
{
	char *lines;
	unsigned int i;

	for (i = 0; i < services->desks->len; i++) {
		support_desk_t *desk = g_ptr_array_index(services->desks, i);

		desk_stop_(desk);
		cb_server_registry_delete(desk->registry);
		cb_counters_delete(desk->counters);
		cb_view_delete(desk->view);
		g_free(desk->name);
		g_free(desk->owner);
		g_free(desk);
	}
	for (i = 0; i < services->services->len; i++) {
		support_service_t *service =
			g_ptr_array_index(services->services, i);

		g_hash_table_unref(service->keys);
		g_free(service->name);
		g_free(service);
	}
	g_ptr_array_unref(services->desks);
	g_ptr_array_unref(services->services);
	g_ptr_array_unref(services->events);
	cb_timer_delete(services->report_timer);
	cb_state_delete(services->state);
	cb_history_delete(services->history);
	fclose(services->stream);
	lines = services->lines;
	g_rand_free(services->random);
	cb_clock_delete(services->clock);
	g_free(services);
	return lines;
}
