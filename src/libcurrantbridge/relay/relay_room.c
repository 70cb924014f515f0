#include "private/relay_room.h"

#include "private/relay.h"
#include "private/room.h"

/*
 * The time in flight is smoothed over this time, and over some requests where few
 * end: this is the most that one of them weighs.
 */
#define RESIDENCE_SMOOTHED_MS 5000.0
#define RESIDENCE_WEIGHT_MAX 0.05
/*
 * A request with less than this percentage of its route's time left, or one that
 * goes on after an event, was refused or broken off before: its caller came back.
 */
#define RETURN_TIME_PERCENT 97
/* Ranks from this one on are counted together. */
#define RANK_LABEL_MAX 9u

/*
 * Documents with more workspaces get no shares by workspace: the sums that all
 * instances receive would be too large.
 */
#define SHARING_WORKSPACES_MAX 64
/* Requests without a workspace share as if they were of one. */
#define NO_WORKSPACE "-"
/* How long the computed capacity of a service is used. */
#define CAPACITY_VALID_MS 500
/* A sum that is older is late: what is known is renewed without one. */
#define SUM_LATE_MS 600

/* A service with layers, as this instance sees it. */
typedef struct service_record {
	double residence_ms; /* smoothed time in flight; 0: not known */
	cb_book_capacity_t capacity;
	int64_t capacity_ms; /* when `capacity` was computed; 0: never */
	int64_t ended_ms;    /* last end of a request */
	gboolean is_overloaded;
	cb_counter_t *capacity_gauge;
	cb_counter_t *used_gauge;
	cb_counter_t *age_gauge;
} service_record_t;

/* Creates the room and the counts that it needs. */
void cb_relay_room_init(cb_front_t *front)
{
	front->room = cb_room_new(front->clock, front->random);
	front->offered = cb_offered_new(front->clock);
	front->room_services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what cb_relay_room_init() created. */
void cb_relay_room_clear(cb_front_t *front)
{
	cb_room_delete(front->room);
	cb_offered_delete(front->offered);
	cb_usage_delete(front->usage_sum);
	g_hash_table_unref(front->room_services);
}

static service_record_t *record_get_(cb_front_t *front, const char *service)
{
	service_record_t *record =
		g_hash_table_lookup(front->room_services, service);

	if (record)
		return record;
	record = g_new0(service_record_t, 1);
	record->capacity_gauge =
		cb_counters_gauge(front->counters, "cb_relay_room_tokens",
				  "service", service);
	record->used_gauge =
		cb_counters_gauge(front->counters, "cb_relay_room_used_tokens",
				  "service", service);
	record->age_gauge =
		cb_counters_gauge(front->counters, "cb_relay_room_age_ms",
				  "service", service);
	g_hash_table_insert(front->room_services, g_strdup(service), record);
	return record;
}

/* Appends what all instances were asked for by a service's callers. */
static void flows_collect_(const cb_front_t *front, const char *service,
			   GArray *flows)
{
	GHashTableIter iter;
	void *value;

	if (!front->usage_sum)
		return;
	g_hash_table_iter_init(&iter, front->usage_sum->by_flow);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_usage_flow_t *sum = value;
		cb_room_flow_t flow = { sum->rank, sum->workspace,
					sum->tokens };

		if (!strcmp(sum->service, service))
			g_array_append_val(flows, flow);
	}
}

/* Returns what a service's engines hold, as of up to CAPACITY_VALID_MS ago. */
static const cb_book_capacity_t *capacity_find_(
	cb_front_t *front, const cb_service_profile_t *service)
{
	service_record_t *record = record_get_(front, service->name);
	int64_t now_ms = cb_clock_now_ms(front->clock);

	if (!record->capacity_ms ||
	    now_ms - record->capacity_ms >= CAPACITY_VALID_MS) {
		record->capacity =
			cb_server_book_find_capacity(front->book, service);
		record->capacity_ms = now_ms;
	}
	return &record->capacity;
}

/* Renews what is known of one service. */
static void service_update_(cb_front_t *front,
			    const cb_service_profile_t *service)
{
	service_record_t *record = record_get_(front, service->name);
	GArray *flows = g_array_new(FALSE, FALSE, sizeof(cb_room_flow_t));
	double capacity_tokens = capacity_find_(front, service)->tokens;
	cb_book_use_t use = cb_server_book_find_use(front->book, service);
	cb_usage_sends_t sends = { 0 };
	cb_room_state_t state = {
		.capacity_tokens = capacity_tokens,
		.used_tokens = use.tokens,
		.own_tokens = use.own_tokens,
		.instances = use.instances,
		.sum_received_ms = front->usage_sum_ms,
		.residence_ms = record->residence_ms,
	};

	if (front->usage_sum)
		sends = cb_usage_find_sends(front->usage_sum, service->name);
	if (sends.pauses)
		state.slow_ratio = (double)sends.long_pauses / sends.pauses;
	flows_collect_(front, service->name, flows);
	state.flows = (const cb_room_flow_t *)flows->data;
	state.flow_count = flows->len;
	cb_room_update(front->room, service->name, &state);
	cb_server_book_set_begun(front->book, service->name,
				 cb_room_begun_tokens_per_s(front->room,
							    service->name));
	cb_counter_set(record->capacity_gauge, (int64_t)capacity_tokens);
	cb_counter_set(record->used_gauge, (int64_t)use.tokens);
	if (front->usage_sum_ms)
		cb_counter_set(record->age_gauge,
			       cb_clock_now_ms(front->clock) -
				       front->usage_sum_ms);
	g_array_unref(flows);
}

/*
 * Renews what is known of the use of the engines of all services: with each sum of
 * usage, and at times while there is none.
 */
static void services_update_(cb_front_t *front)
{
	GHashTableIter iter;
	void *value;

	if (!front->document)
		return;
	g_hash_table_iter_init(&iter, front->document->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((cb_service_profile_t *)value)->engine)
			service_update_(front, value);
}

/* Takes the sum of all instances' usage. */
void cb_relay_room_receive(cb_front_t *front, cb_usage_t *sum)
{
	cb_usage_delete(front->usage_sum);
	front->usage_sum = sum;
	front->usage_sum_ms = cb_clock_now_ms(front->clock);
	services_update_(front);
}

static gboolean is_by_workspace_(const char *service, void *user_data)
{
	const cb_front_t *front = user_data;

	return cb_room_is_scarce(front->room, service) && front->document &&
	       g_hash_table_size(front->document->workspaces) <=
		       SHARING_WORKSPACES_MAX;
}

/* Adds what was asked for here to the usage that is reported. */
void cb_relay_room_add_usage(cb_front_t *front, cb_usage_t *usage)
{
	if (cb_clock_now_ms(front->clock) - front->usage_sum_ms >= SUM_LATE_MS)
		services_update_(front);
	cb_offered_add_usage(front->offered, usage, is_by_workspace_, front);
}

/* Logs when refusals of a service for lack of room begin, and when they end. */
static void overload_record_(cb_front_t *front, const char *service,
			     const cb_room_decision_t *decision)
{
	service_record_t *record = record_get_(front, service);
	gboolean is_overloaded = !decision->is_admitted;

	if (is_overloaded == record->is_overloaded ||
	    (!is_overloaded && cb_room_is_scarce(front->room, service)))
		return;
	record->is_overloaded = is_overloaded;
	cb_log_event(front->log,
		     is_overloaded ? CB_EVENT_SERVICE_OVERLOADED :
				     CB_EVENT_SERVICE_RELIEVED,
		     CB_STR("service", service),
		     CB_INT("used_percent",
			    (int64_t)(decision->used_ratio * 100)),
		     CB_INT("age_ms", decision->age_ms));
}

/* Counts and logs that a request was refused. */
static void refusal_record_(cb_relay_t *relay,
			    const cb_room_decision_t *decision)
{
	cb_front_t *front = relay->front;
	const char *because = cb_room_reason_string[decision->reason];
	char *of = g_strdup_printf("%s/%u/%s", relay->service->name,
				   MIN(relay->rank, RANK_LABEL_MAX), because);

	cb_counter_add(cb_counters_counter(front->counters,
					   "cb_relay_room_refused_total", "of",
					   of),
		       1);
	g_free(of);
	cb_log_event(front->log, CB_EVENT_RELAY_ROOM_REFUSED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("service", relay->service->name),
		     CB_STR("workspace", relay->workspace),
		     CB_INT("rank", relay->rank), CB_STR("because", because),
		     CB_INT("admitted_percent",
			    (int64_t)(decision->admitted_ratio * 100)),
		     CB_INT("used_percent",
			    (int64_t)(decision->used_ratio * 100)),
		     CB_INT("age_ms", decision->age_ms),
		     CB_INT("retry_after_ms", decision->retry_after_ms));
}

gboolean cb_relay_room_refuse(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	const char *workspace =
		relay->workspace ? relay->workspace : NO_WORKSPACE;
	int64_t left_ms = relay->deadline_ms - cb_relay_now_ms(relay);
	cb_room_request_t request = {
		.rank = relay->rank,
		.workspace = workspace,
		.tokens = relay->expected_tokens,
		.time_left_ms = left_ms,
		.is_return = relay->last_event >= 0 ||
			     left_ms * 100 < relay->route->timeout_ms *
						     RETURN_TIME_PERCENT,
	};
	cb_room_decision_t decision;
	double largest_tokens;

	if (relay->is_admitted || !relay->service->engine)
		return FALSE;
	relay->is_admitted = TRUE;
	if (relay->forwarded_from || relay->run_count || relay->is_answer_begun)
		return FALSE;
	largest_tokens = capacity_find_(front, relay->service)->largest_tokens;
	if (largest_tokens > 0 && relay->expected_tokens > largest_tokens) {
		cb_relay_give_up(relay, "too_large", 0);
		return TRUE;
	}
	cb_offered_count_request(front->offered, relay->service->name,
				 relay->rank, workspace,
				 relay->expected_tokens);
	decision = cb_room_decide(front->room, relay->service->name, &request);
	overload_record_(front, relay->service->name, &decision);
	if (decision.is_admitted)
		return FALSE;
	refusal_record_(relay, &decision);
	cb_relay_give_up(relay, "overloaded", decision.retry_after_ms);
	return TRUE;
}

/* Records for how long a request that was served was in flight. */
void cb_relay_room_ended(cb_relay_t *relay)
{
	service_record_t *record;
	int64_t now_ms = cb_relay_now_ms(relay);
	double held_ms;
	double weight;

	if (!relay->service || !relay->service->engine || !relay->sent_ms)
		return;
	record = record_get_(relay->front, relay->service->name);
	held_ms = (double)(now_ms - relay->sent_ms);
	weight =
		MIN((double)(now_ms - record->ended_ms) / RESIDENCE_SMOOTHED_MS,
		    RESIDENCE_WEIGHT_MAX);
	record->residence_ms += (record->residence_ms > 0 ? weight : 1) *
				(held_ms - record->residence_ms);
	record->ended_ms = now_ms;
}
