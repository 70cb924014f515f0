#include "support_services.h"

#include <stdlib.h>
#include <string.h>

#define NETWORK_DELAY_MS 1
#define COMMIT_DELAY_MS 10
#define LATE_ARRIVAL_MS 700
#define ANNOUNCE_INTERVAL_MS 200
#define SERVER_SILENCE_MS 2000
#define INSTANCE_UP_DELAY_MS 1000
#define PER_MILLE 1000

/* What a server that checks fencing records for a key. */
typedef struct known_key {
	/* fencing number of the key; lower ones are refused */
	uint64_t fencing;
	gboolean is_executed;
	char *body; /* body of the call, sent back as the answer */
} known_key_t;

typedef enum event_kind {
	EVENT_SEND,
	EVENT_FENCE,
	EVENT_SUBMIT,
	EVENT_INSTANCE_UP
} event_kind_t;

/* A call, fence query or command in flight, or an instance's announcement. */
typedef struct event {
	support_services_t *services;
	support_call_entry_t *entry;
	support_service_t *service;
	event_kind_t kind;
	cb_service_listener_t listener;
	cb_fence_listener_t fence_listener;
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
	cb_answer_t *ledger_answer; /* passed to `done` */
	/* whether the result was reported or is not wanted */
	gboolean is_closed;
	gboolean is_unanswered; /* whether no result reaches the sender */
	/* whether the connection is lost once the call is run */
	gboolean is_lost_after;
	char *owner; /* not used by an event; always NULL */
	/* fires when the call, query or command reaches its destination */
	cb_timer_t *arrival;
	cb_timer_t *work; /* fires when the service has run the call */
	/* fires when the result of the event reaches the sender */
	cb_timer_t *end;
} event_t;

static void event_delete_(void *data)
{
	event_t *event = data;

	cb_timer_delete(event->arrival);
	cb_timer_delete(event->work);
	cb_timer_delete(event->end);
	cb_command_delete(event->command);
	if (event->ledger_answer)
		cb_answer_delete(event->ledger_answer);
	g_clear_pointer(&event->answer.body, g_bytes_unref);
	g_free(event->request);
	g_free(event->key);
	g_free(event->body);
	g_free(event->owner);
	g_free(event);
}

static void known_key_delete_(void *data)
{
	g_free(((known_key_t *)data)->body);
	g_free(data);
}

static gboolean fault_occurs_(support_services_t *services, int per_mille)
{
	return per_mille &&
	       g_rand_int_range(services->random, 0, PER_MILLE) < per_mille;
}

static void event_end_schedule_(event_t *event, int64_t delay_ms)
{
	if (!cb_timer_is_armed(event->end))
		cb_timer_start(event->end, delay_ms);
}

static void event_end_report_(void *user_data)
{
	event_t *event = user_data;
	gboolean has_answer = event->answer.body != NULL;

	if (event->is_closed || event->is_unanswered)
		return;
	event->is_closed = TRUE;
	if (event->kind == EVENT_SEND)
		event->listener.done(event->listener.user_data, event->failure,
				     event->failure ? NULL : &event->answer);
	else if (event->kind == EVENT_FENCE)
		event->fence_listener.done(event->fence_listener.user_data,
					   event->result,
					   has_answer ? &event->answer : NULL);
	else
		event->done(event->outcome, event->ledger_answer,
			    event->user_data);
}

static void event_failure_schedule_(event_t *event, cb_failure_t failure)
{
	event->failure = failure;
	event_end_schedule_(event, NETWORK_DELAY_MS);
}

static known_key_t *known_key_get_(event_t *event)
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

/* Executes and answers a call, unless the server has died meanwhile. */
static void call_work_done_(void *user_data)
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
		event_failure_schedule_(event, CB_FAILURE_LOST);
	else
		event_end_schedule_(event, NETWORK_DELAY_MS);
}

/* Handles the arrival of a call; a key is run once if fencing is checked. */
static void call_arrived_(event_t *event)
{
	support_service_t *service = event->service;
	known_key_t *key;

	service->calls++;
	if (service->checks_fencing && event->key) {
		key = known_key_get_(event);
		if (key->is_executed || event->fencing < key->fencing) {
			event_failure_schedule_(event, CB_FAILURE_FENCED);
			return;
		}
		/* A fence query reports a call that has started as executed. */
		key->fencing = event->fencing;
		key->is_executed = TRUE;
		key->body = g_strdup(event->body);
	}
	cb_timer_start(event->work, service->work_ms);
}

static void fence_query_arrived_(event_t *event)
{
	known_key_t *key = known_key_get_(event);

	key->fencing = MAX(key->fencing, event->fencing);
	event->result =
		key->is_executed ? CB_FENCE_EXECUTED : CB_FENCE_NOT_EXECUTED;
	if (key->is_executed)
		answer_set_(event, key->body);
	event_end_schedule_(event, NETWORK_DELAY_MS);
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

/* Records in the replicated state that an entry instance is up or silent. */
static void instance_state_apply_(support_services_t *services,
				  const char *name, uint64_t incarnation,
				  gboolean is_up)
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

static void command_arrived_(event_t *event)
{
	support_services_t *services = event->services;
	support_call_faults_t *faults = &services->faults;
	gboolean is_lost;

	event->outcome = CB_LEDGER_UNAVAILABLE;
	if (fault_occurs_(services, faults->unavailable)) {
		event_end_schedule_(event, NETWORK_DELAY_MS);
		return;
	}
	event->outcome = CB_LEDGER_UNKNOWN;
	is_lost = fault_occurs_(services, faults->answer_lost);
	if (is_lost || !fault_occurs_(services, faults->not_submitted)) {
		event->ledger_answer = command_apply_(services, event->command);
		if (!is_lost)
			event->outcome = CB_LEDGER_ANSWERED;
	}
	event_end_schedule_(event, COMMIT_DELAY_MS);
}

static void event_arrived_(void *user_data)
{
	event_t *event = user_data;

	if (event->kind == EVENT_SUBMIT) {
		command_arrived_(event);
	} else if (event->kind == EVENT_INSTANCE_UP) {
		instance_state_apply_(event->services, event->entry->name,
				      event->entry->incarnation, TRUE);
	} else if (!event->service->is_alive) {
		event->result = CB_FENCE_UNKNOWN;
		event_failure_schedule_(event, CB_FAILURE_CONNECT);
	} else if (event->kind == EVENT_SEND) {
		call_arrived_(event);
	} else {
		fence_query_arrived_(event);
	}
}

static event_t *event_new_(support_call_entry_t *entry, event_kind_t kind)
{
	support_services_t *services = entry->services;
	event_t *event = g_new0(event_t, 1);

	event->services = services;
	event->entry = entry;
	event->kind = kind;
	event->arrival = cb_timer_new(services->clock, event_arrived_, event);
	event->work = cb_timer_new(services->clock, call_work_done_, event);
	event->end = cb_timer_new(services->clock, event_end_report_, event);
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

static cb_exchange_t *client_send_(cb_service_client_t *client,
				   cb_server_t *server,
				   const cb_service_request_t *request,
				   const cb_service_listener_t *listener)
{
	event_t *event = event_new_((support_call_entry_t *)client, EVENT_SEND);
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
	if (fault_occurs_(services, faults->lost_before)) {
		event_failure_schedule_(event, CB_FAILURE_LOST);
		return (cb_exchange_t *)event;
	}
	if (fault_occurs_(services, faults->busy)) {
		event_failure_schedule_(event, CB_FAILURE_REFUSED);
		return (cb_exchange_t *)event;
	}
	event->is_unanswered = fault_occurs_(services, faults->silent);
	event->is_lost_after = fault_occurs_(services, faults->lost_after);
	if (fault_occurs_(services, faults->late)) {
		/*
		 * The call is lost for its caller, but still to arrive at the
		 * service.
		 */
		event_failure_schedule_(event, CB_FAILURE_LOST);
		cb_timer_start(event->arrival, LATE_ARRIVAL_MS);
		return (cb_exchange_t *)event;
	}
	cb_timer_start(event->arrival, NETWORK_DELAY_MS);
	return (cb_exchange_t *)event;
}

static cb_exchange_t *client_fence_(cb_service_client_t *client,
				    cb_server_t *server, const char *key,
				    uint64_t fencing,
				    const cb_fence_listener_t *listener)
{
	event_t *event =
		event_new_((support_call_entry_t *)client, EVENT_FENCE);

	event->service = service_find_(event->services, server->name);
	g_assert(event->service->checks_fencing);
	event->fence_listener = *listener;
	event->key = g_strdup(key);
	event->fencing = fencing;
	event->is_unanswered =
		fault_occurs_(event->services,
			      event->services->faults.fence_lost);
	cb_timer_start(event->arrival, NETWORK_DELAY_MS);
	return (cb_exchange_t *)event;
}

static void client_cancel_(cb_service_client_t *client, cb_exchange_t *exchange)
{
	(void)client;
	((event_t *)exchange)->is_closed = TRUE;
}

static void ledger_submit_(cb_ledger_t *ledger, cb_command_t *command,
			   int64_t timeout_ms, cb_ledger_fn_t done,
			   void *user_data)
{
	support_call_entry_t *entry =
		(support_call_entry_t *)((char *)ledger -
					 offsetof(support_call_entry_t,
						  ledger));
	event_t *event = event_new_(entry, EVENT_SUBMIT);

	(void)timeout_ms;
	event->command = command;
	event->done = done;
	event->user_data = user_data;
	cb_timer_start(event->arrival, COMMIT_DELAY_MS);
}

static const cb_service_client_vtable_t client_vtable = {
	.send = client_send_,
	.fence = client_fence_,
	.cancel = client_cancel_,
};

static const cb_ledger_vtable_t ledger_vtable = { .submit = ledger_submit_ };

void support_services_announce(support_services_t *services)
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

		for (j = 0; j < services->entries->len && service->is_alive;
		     j++) {
			support_call_entry_t *entry =
				g_ptr_array_index(services->entries, j);

			cb_server_announce(entry->registry, text, NULL);
		}
		g_free(text);
	}
	cb_timer_start(services->announce_timer, ANNOUNCE_INTERVAL_MS);
}

static void announce_timer_fired_(void *user_data)
{
	support_services_announce(user_data);
}

support_services_t *support_services_new(uint32_t seed)
{
	support_services_t *services = g_new0(support_services_t, 1);

	services->clock = cb_clock_new_paused(1000);
	services->random = g_rand_new_with_seed(seed);
	services->services = g_ptr_array_new();
	services->entries = g_ptr_array_new();
	services->events = g_ptr_array_new_with_free_func(event_delete_);
	services->announce_timer =
		cb_timer_new(services->clock, announce_timer_fired_, services);
	services->state = cb_state_new();
	services->stream = open_memstream(&services->lines, &services->size);
	services->history = cb_history_new(services->clock, services->stream);
	cb_timer_start(services->announce_timer, 0);
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
					      known_key_delete_);
	g_ptr_array_add(services->services, service);
	return service;
}

/* Starts the process of an entry instance. */
static void entry_start_(support_call_entry_t *entry)
{
	support_services_t *services = entry->services;
	cb_call_parts_t parts = { .clock = services->clock,
				  .random = services->random,
				  .services = &entry->client,
				  .ledger = &entry->ledger,
				  .data_centre = "dc1",
				  .history = services->history };

	entry->incarnation++;
	g_free(entry->owner);
	entry->owner =
		g_strdup_printf("%s/%d", entry->name, (int)entry->incarnation);
	parts.counters = entry->counters;
	parts.registry = entry->registry;
	parts.owner = entry->owner;
	entry->env = cb_call_env_new(&parts);
}

support_call_entry_t *support_call_entry_add(support_services_t *services)
{
	support_call_entry_t *entry = g_new0(support_call_entry_t, 1);

	entry->client.vtable = &client_vtable;
	entry->ledger.vtable = &ledger_vtable;
	entry->services = services;
	entry->name = g_strdup_printf("entry-%u", services->entries->len);
	entry->view = cb_view_new();
	entry->counters = cb_counters_new();
	entry->registry =
		cb_server_registry_new(services->clock, NULL, entry->counters,
				       entry->view, SERVER_SILENCE_MS);
	g_ptr_array_add(services->entries, entry);
	entry_start_(entry);
	instance_state_apply_(services, entry->name, entry->incarnation, TRUE);
	return entry;
}

/* Ends the process of an entry instance; its callers get no result. */
static void entry_stop_(support_call_entry_t *entry)
{
	GPtrArray *events = entry->services->events;
	unsigned int i;

	cb_call_env_delete(entry->env);
	for (i = 0; i < events->len; i++) {
		event_t *event = g_ptr_array_index(events, i);

		if (event->entry != entry || event->is_closed)
			continue;
		event->is_closed = TRUE;
		if (event->kind == EVENT_SUBMIT)
			g_free(event->user_data);
	}
}

void support_call_entry_restart(support_call_entry_t *entry)
{
	event_t *instance_up;

	entry_stop_(entry);
	entry_start_(entry);
	instance_up = event_new_(entry, EVENT_INSTANCE_UP);
	cb_timer_start(instance_up->arrival, INSTANCE_UP_DELAY_MS);
}

char *support_services_delete(support_services_t *services)
{
	char *lines;
	unsigned int i;

	for (i = 0; i < services->entries->len; i++) {
		support_call_entry_t *entry =
			g_ptr_array_index(services->entries, i);

		entry_stop_(entry);
		cb_server_registry_delete(entry->registry);
		cb_counters_delete(entry->counters);
		cb_view_delete(entry->view);
		g_free(entry->name);
		g_free(entry->owner);
		g_free(entry);
	}
	for (i = 0; i < services->services->len; i++) {
		support_service_t *service =
			g_ptr_array_index(services->services, i);

		g_hash_table_unref(service->keys);
		g_free(service->name);
		g_free(service);
	}
	g_ptr_array_unref(services->entries);
	g_ptr_array_unref(services->services);
	g_ptr_array_unref(services->events);
	cb_timer_delete(services->announce_timer);
	cb_state_delete(services->state);
	cb_history_delete(services->history);
	fclose(services->stream);
	lines = services->lines;
	g_rand_free(services->random);
	cb_clock_delete(services->clock);
	g_free(services);
	return lines;
}
