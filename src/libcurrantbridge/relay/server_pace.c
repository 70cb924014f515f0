#include "private/server_pace.h"

#include <math.h>
#include <string.h>

/* Weight at which a server begins again, and the lowest one. */
#define WEIGHT_INITIAL 0.25
#define WEIGHT_MIN 0.02
/* Time in which the weight rises by 1 while nothing speaks against it. */
#define RISE_MS 1500.0
/* Time constant with which the weight falls to what the answers show. */
#define FALL_MS 200.0
/* Shortest time of a pace. */
#define PACE_MIN_MS 500
/* Answers are counted in spans of this length; two of them count. */
#define SPAN_MS 500
/* Mean times up to this ratio to the usual one count as usual. */
#define USUAL_RATIO 1.3
/*
 * With longer times, the weight is the ratio to the power of minus this: a slow
 * server gets less than it could do, as its requests are in time only if they
 * need not wait.
 */
#define SLOW_EXPONENT 1.5
/* From this ratio on, a server that is not paced begins to be. */
#define SLOW_RATIO 2.5
#define SLOW_ANSWERS_MIN 5
/* From this part of failures on, a server gets the lowest weight. */
#define FAILING_FRACTION 0.25
/* Failures at other instances by which a server begins to be paced. */
#define FAILING_MIN 3
/* Answers that show that a server serves. */
#define SHOWN_ANSWERS 3
/*
 * A server that returns again within FLAP_WINDOW_MS gets nothing for a while,
 * twice as long with each further return.
 */
#define FLAP_WINDOW_MS 10000
#define FLAP_HOLD_MS 2000
#define FLAP_DOUBLINGS_MAX 1
/* A process that has just started takes the servers that it meets as usual. */
#define OWN_START_MS 1000
/* Sums of usage arrive a few times a second. */
#define SUM_VALID_MS 1500
/* Weight of an answer in the usual time, and answers until it is known. */
#define USUAL_WEIGHT 0.05
#define USUAL_ANSWERS_MIN 5
/* Without answers of unpaced servers for so long, all count as usual. */
#define USUAL_VALID_MS 3000
/* A change of the weight by this much is reported. */
#define CHANGE_STEP 0.25

const char *const cb_pace_reason_string[CB_PACE_REASON_COUNT] = {
	[CB_PACE_STARTED] = "started", [CB_PACE_RETURNED] = "returned",
	[CB_PACE_LAYERS] = "layers",   [CB_PACE_FAILING] = "failing",
	[CB_PACE_SLOW] = "slow",       [CB_PACE_PROVEN] = "proven",
};

/* What answers show. */
typedef struct evidence {
	uint32_t answers;
	uint32_t failures;
	uint32_t
		percent; /* sum of the answers' times in percent of the usual */
} evidence_t;

/* The usual time of a kind of request. */
typedef struct usual {
	double time_ms;
	unsigned int answers;
	int64_t unpaced_ms; /* last answer of a server that was not paced */
} usual_t;

/* The returns of the servers at one address. */
typedef struct address_record {
	char *service;
	unsigned int returns; /* each within FLAP_WINDOW_MS of the last one */
	int64_t returned_ms;
} address_record_t;

typedef struct server_record {
	int64_t start_wall_ms;
	uint32_t layer_from;
	uint32_t layer_to;
	gboolean was_silent;
	gboolean was_avoided;
	gboolean is_plain;

	double weight; /* 1: not paced */
	double reported_weight;
	cb_pace_reason_t reason;
	gboolean is_shown;
	int64_t begun_ms;
	int64_t hold_until_ms;
	int64_t cold_until_ms;
	int64_t stepped_ms; /* when the weight was last computed */

	evidence_t spans[2]; /* the present span and the one before */
	int64_t span_ms;
	evidence_t reported; /* what was last reported of this process */
	evidence_t others;   /* what the other instances reported of it */
} server_record_t;

struct cb_server_pace {
	cb_clock_t *clock;
	GHashTable *servers;   /* server ID to server_record_t */
	GHashTable *addresses; /* address to address_record_t */
	GHashTable *usuals;    /* service, or service and kind, to usual_t */
	int64_t first_ms;      /* the first look at a server; 0: none yet */
	int64_t sum_ms;	       /* when a sum was received; 0: never */
	cb_pace_changed_fn_t changed;
	void *user_data;
};

static void address_record_free_(void *data)
{
	g_free(((address_record_t *)data)->service);
	g_free(data);
}

/* Creates paces without any server. */
cb_server_pace_t *cb_server_pace_new(cb_clock_t *clock)
{
	cb_server_pace_t *pace = g_new0(cb_server_pace_t, 1);

	pace->clock = clock;
	pace->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pace->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						address_record_free_);
	pace->usuals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pace;
}

/* Deletes paces; NULL is allowed. */
void cb_server_pace_delete(cb_server_pace_t *pace)
{
	if (!pace)
		return;
	g_hash_table_unref(pace->servers);
	g_hash_table_unref(pace->addresses);
	g_hash_table_unref(pace->usuals);
	g_free(pace);
}

void cb_server_pace_watch(cb_server_pace_t *pace, cb_pace_changed_fn_t fn,
			  void *user_data)
{
	pace->changed = fn;
	pace->user_data = user_data;
}

static int64_t now_ms_(const cb_server_pace_t *pace)
{
	return cb_clock_now_ms(pace->clock);
}

/* Begins a new span once the present one is over. */
static void spans_advance_(server_record_t *record, int64_t now_ms)
{
	int64_t age_ms = now_ms - record->span_ms;

	if (age_ms < SPAN_MS)
		return;
	record->spans[1] =
		age_ms < 2 * SPAN_MS ? record->spans[0] : (evidence_t){ 0 };
	record->spans[0] = (evidence_t){ 0 };
	record->span_ms = now_ms;
}

static evidence_t sum_(evidence_t left, evidence_t right)
{
	return (evidence_t){ left.answers + right.answers,
			     left.failures + right.failures,
			     left.percent + right.percent };
}

static gboolean sums_are_valid_(const cb_server_pace_t *pace)
{
	return pace->sum_ms && now_ms_(pace) - pace->sum_ms <= SUM_VALID_MS;
}

/* Returns what this instance's and, as far as known, all answers show. */
static evidence_t evidence_find_(const cb_server_pace_t *pace,
				 server_record_t *record)
{
	evidence_t own;

	spans_advance_(record, now_ms_(pace));
	own = sum_(record->spans[0], record->spans[1]);
	return sums_are_valid_(pace) ? sum_(own, record->others) : own;
}

/* Returns the ratio of the mean time to the usual one; 1 without answers. */
static double ratio_find_(const evidence_t *evidence)
{
	return evidence->answers ?
		       (double)evidence->percent / 100 / evidence->answers :
		       1;
}

static gboolean is_failing_(const evidence_t *evidence)
{
	return evidence->failures >
	       FAILING_FRACTION * (evidence->answers + evidence->failures);
}

/* Reports a server's pace if it has changed enough. */
static void change_report_(cb_server_pace_t *pace, const char *id,
			   server_record_t *record, cb_pace_reason_t reason)
{
	int64_t now_ms = now_ms_(pace);
	evidence_t evidence = evidence_find_(pace, record);
	const cb_pace_change_t change = {
		.id = id,
		.reason = reason,
		.weight_percent = (unsigned int)lround(record->weight * 100),
		.answers = evidence.answers,
		.failures = evidence.failures,
		.time_percent = (unsigned int)(ratio_find_(&evidence) * 100),
		.hold_ms = MAX(record->hold_until_ms - now_ms, 0),
		.sum_age_ms = pace->sum_ms ? now_ms - pace->sum_ms : -1,
	};

	if (reason == record->reason &&
	    fabs(record->weight - record->reported_weight) < CHANGE_STEP)
		return;
	record->reason = reason;
	record->reported_weight = record->weight;
	if (pace->changed)
		pace->changed(&change, pace->user_data);
}

/* Begins the pace of a server, or begins it again. */
static void pace_begin_(cb_server_pace_t *pace, const char *id,
			server_record_t *record, cb_pace_reason_t reason)
{
	record->weight = MIN(record->weight, WEIGHT_INITIAL);
	record->begun_ms = now_ms_(pace);
	record->stepped_ms = record->begun_ms;
	record->is_shown = FALSE;
	record->reported_weight = -1;
	change_report_(pace, id, record, reason);
}

/*
 * Counts the return of a server at its address, whatever its ID is now.  One that
 * comes and goes gets nothing for a while.
 */
static void return_count_(cb_server_pace_t *pace, server_record_t *record,
			  const cb_fleet_server_t *server)
{
	address_record_t *address =
		g_hash_table_lookup(pace->addresses, server->address);
	int64_t now_ms = now_ms_(pace);

	if (!address) {
		address = g_new0(address_record_t, 1);
		g_hash_table_insert(pace->addresses, g_strdup(server->address),
				    address);
	}
	if (g_strcmp0(address->service, server->service) != 0 ||
	    now_ms - address->returned_ms > FLAP_WINDOW_MS)
		address->returns = 0;
	g_free(address->service);
	address->service = g_strdup(server->service);
	address->returned_ms = now_ms;
	address->returns++;
	record->hold_until_ms = 0;
	if (address->returns > 1)
		record->hold_until_ms =
			now_ms + (FLAP_HOLD_MS << MIN(address->returns - 2,
						      FLAP_DOUBLINGS_MAX));
}

/* Returns a server's record, creating it at the first look. */
static server_record_t *record_get_(cb_server_pace_t *pace,
				    const cb_fleet_server_t *server,
				    gboolean *is_new)
{
	server_record_t *record =
		g_hash_table_lookup(pace->servers, server->id);

	*is_new = !record;
	if (record)
		return record;
	record = g_new0(server_record_t, 1);
	record->start_wall_ms = server->start_wall_ms;
	record->layer_from = server->layer_from;
	record->layer_to = server->layer_to;
	record->weight = 1;
	record->reported_weight = 1;
	record->reason = CB_PACE_PROVEN;
	record->stepped_ms = now_ms_(pace);
	g_hash_table_insert(pace->servers, g_strdup(server->id), record);
	return record;
}

/* Notices that a server has started or come back, or holds other layers. */
static void server_look_(cb_server_pace_t *pace, server_record_t *record,
			 const cb_fleet_server_t *server, gboolean is_new,
			 gboolean is_avoided)
{
	int64_t now_ms = now_ms_(pace);
	gboolean is_silent = server->state == CB_FLEET_SILENT;

	if (!pace->first_ms)
		pace->first_ms = now_ms;
	record->is_plain = !server->layer_to;
	if (server->cold_remaining_ms > 0)
		record->cold_until_ms =
			(server->last_heartbeat_ms ? server->last_heartbeat_ms :
						     now_ms) +
			server->cold_remaining_ms;
	if (is_new) {
		if (now_ms - pace->first_ms < OWN_START_MS &&
		    record->cold_until_ms <= now_ms)
			return;
		return_count_(pace, record, server);
		pace_begin_(pace, server->id, record, CB_PACE_STARTED);
	} else if (record->start_wall_ms != server->start_wall_ms) {
		record->start_wall_ms = server->start_wall_ms;
		memset(record->spans, 0, sizeof(record->spans));
		record->others = (evidence_t){ 0 };
		record->reported = (evidence_t){ 0 };
		return_count_(pace, record, server);
		pace_begin_(pace, server->id, record, CB_PACE_STARTED);
	} else if (record->was_silent && !is_silent) {
		return_count_(pace, record, server);
		pace_begin_(pace, server->id, record, CB_PACE_RETURNED);
	} else if (record->was_avoided && !is_avoided) {
		pace_begin_(pace, server->id, record, CB_PACE_RETURNED);
	} else if (record->layer_from != server->layer_from ||
		   record->layer_to != server->layer_to) {
		pace_begin_(pace, server->id, record, CB_PACE_LAYERS);
	}
	record->layer_from = server->layer_from;
	record->layer_to = server->layer_to;
	record->was_silent = is_silent;
	record->was_avoided = is_avoided;
}

/*
 * Moves the weight: down to what the answers show, quickly, or up, by as much in
 * each second.  A server that calls itself cold has to show that it isn't.
 */
static void weight_step_(const cb_server_pace_t *pace, server_record_t *record)
{
	int64_t now_ms = now_ms_(pace);
	double step_ms = (double)(now_ms - record->stepped_ms);
	evidence_t evidence = evidence_find_(pace, record);
	double ratio = ratio_find_(&evidence);
	double aim = 1;

	record->stepped_ms = now_ms;
	record->is_shown |=
		evidence.answers >= SHOWN_ANSWERS && !is_failing_(&evidence);
	if (ratio > USUAL_RATIO)
		aim = pow(ratio, -SLOW_EXPONENT);
	if (is_failing_(&evidence)) {
		aim = WEIGHT_MIN;
		record->is_shown = FALSE;
	}
	if (!evidence.answers && record->cold_until_ms > now_ms)
		aim = WEIGHT_INITIAL;
	if (aim < record->weight)
		record->weight +=
			(aim - record->weight) * -expm1(-step_ms / FALL_MS);
	else
		record->weight = MIN(aim, record->weight + step_ms / RISE_MS);
	record->weight = MAX(record->weight, WEIGHT_MIN);
}

/* Begins the pace of a server that turns slow or fails. */
static void trouble_find_(cb_server_pace_t *pace, const char *id,
			  server_record_t *record)
{
	evidence_t evidence = evidence_find_(pace, record);

	if (evidence.failures >= FAILING_MIN && is_failing_(&evidence)) {
		pace_begin_(pace, id, record, CB_PACE_FAILING);
	} else if (record->is_plain && evidence.answers >= SLOW_ANSWERS_MIN &&
		   ratio_find_(&evidence) > SLOW_RATIO) {
		pace_begin_(pace, id, record, CB_PACE_SLOW);
		record->weight = 1 / SLOW_RATIO;
		record->is_shown = TRUE;
	}
}

cb_pace_t cb_server_pace_find(cb_server_pace_t *pace,
			      const cb_fleet_server_t *server,
			      gboolean is_avoided)
{
	int64_t now_ms = now_ms_(pace);
	gboolean is_new;
	server_record_t *record = record_get_(pace, server, &is_new);

	server_look_(pace, record, server, is_new, is_avoided);
	if (record->weight >= 1 && record->reason == CB_PACE_PROVEN &&
	    (record->is_plain || record->spans[0].failures ||
	     record->spans[1].failures || record->others.failures))
		trouble_find_(pace, server->id, record);
	if (record->reason == CB_PACE_PROVEN)
		return (cb_pace_t){ 1, TRUE };
	if (is_avoided || now_ms < record->hold_until_ms) {
		record->stepped_ms = now_ms;
		return (cb_pace_t){ 0, FALSE };
	}
	weight_step_(pace, record);
	if (record->weight >= 1 && record->cold_until_ms <= now_ms &&
	    now_ms - record->begun_ms >= PACE_MIN_MS) {
		change_report_(pace, server->id, record, CB_PACE_PROVEN);
		return (cb_pace_t){ 1, TRUE };
	}
	change_report_(pace, server->id, record, record->reason);
	return (cb_pace_t){ MIN(record->weight, 1), record->is_shown };
}

/* Returns the time of an answer in percent of the usual one, and learns it. */
static uint32_t time_percent_(cb_server_pace_t *pace, const char *key,
			      gboolean is_unpaced, int64_t time_ms)
{
	usual_t *usual = g_hash_table_lookup(pace->usuals, key);
	double ratio;

	if (!usual) {
		usual = g_new0(usual_t, 1);
		g_hash_table_insert(pace->usuals, g_strdup(key), usual);
	}
	ratio = usual->answers >= USUAL_ANSWERS_MIN ?
			(double)MAX(time_ms, 1) / MAX(usual->time_ms, 1) :
			1;
	if (is_unpaced)
		usual->unpaced_ms = now_ms_(pace);
	if (is_unpaced || now_ms_(pace) - usual->unpaced_ms > USUAL_VALID_MS) {
		usual->answers++;
		usual->time_ms += MAX(USUAL_WEIGHT, 1.0 / usual->answers) *
				  ((double)time_ms - usual->time_ms);
	}
	return (uint32_t)(MIN(ratio, 100) * 100);
}

void cb_server_pace_record_time(cb_server_pace_t *pace, const char *id,
				const char *service, const char *kind,
				int64_t time_ms)
{
	server_record_t *record = g_hash_table_lookup(pace->servers, id);
	gboolean is_unpaced = !record || record->reason == CB_PACE_PROVEN;
	uint32_t percent = time_percent_(pace, service, is_unpaced, time_ms);

	if (kind) {
		char *key = g_strdup_printf("%s\n%s", service, kind);

		percent = time_percent_(pace, key, is_unpaced, time_ms);
		g_free(key);
	}
	if (!record)
		return;
	spans_advance_(record, now_ms_(pace));
	record->spans[0].answers++;
	record->spans[0].percent += percent;
}

void cb_server_pace_record_failure(cb_server_pace_t *pace, const char *id)
{
	server_record_t *record = g_hash_table_lookup(pace->servers, id);

	if (!record)
		return;
	spans_advance_(record, now_ms_(pace));
	record->spans[0].failures++;
}

void cb_server_pace_forget(cb_server_pace_t *pace, const char *id)
{
	server_record_t *record = g_hash_table_lookup(pace->servers, id);

	if (!record)
		return;
	memset(record->spans, 0, sizeof(record->spans));
	record->weight = 1;
	record->hold_until_ms = 0;
	record->was_avoided = FALSE;
}

double cb_server_pace_usual_ms(const cb_server_pace_t *pace,
			       const char *service)
{
	const usual_t *usual = g_hash_table_lookup(pace->usuals, service);

	return usual ? usual->time_ms : 0;
}

unsigned int cb_server_pace_count(const cb_server_pace_t *pace)
{
	unsigned int count = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pace->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((server_record_t *)value)->reason != CB_PACE_PROVEN;
	return count;
}

void cb_server_pace_add_usage(cb_server_pace_t *pace, cb_usage_t *usage)
{
	GHashTableIter iter;
	void *value;
	void *id;

	g_hash_table_iter_init(&iter, pace->servers);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		server_record_t *record = value;
		cb_usage_load_t load = { 0 };

		spans_advance_(record, now_ms_(pace));
		record->reported = sum_(record->spans[0], record->spans[1]);
		if (!record->is_plain && record->reason == CB_PACE_PROVEN)
			record->reported.answers = record->reported.percent = 0;
		if (!record->reported.answers && !record->reported.failures)
			continue;
		load.answers = record->reported.answers;
		load.answer_percent = record->reported.percent;
		load.failures = record->reported.failures;
		load.answered_start_wall_ms = (uint64_t)record->start_wall_ms;
		cb_usage_add_load(usage, id, &load);
	}
}

static uint32_t difference_(uint32_t sum, uint32_t own)
{
	return sum - MIN(sum, own);
}

void cb_server_pace_update(cb_server_pace_t *pace, const cb_usage_t *sum)
{
	GHashTableIter iter;
	void *value;
	void *id;

	pace->sum_ms = now_ms_(pace);
	g_hash_table_iter_init(&iter, pace->servers);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		server_record_t *record = value;
		cb_usage_load_t load = cb_usage_find_load(sum, id);

		record->others = (evidence_t){ 0 };
		if (load.answered_start_wall_ms !=
		    (uint64_t)record->start_wall_ms)
			continue;
		record->others.answers =
			difference_(load.answers, record->reported.answers);
		record->others.failures =
			difference_(load.failures, record->reported.failures);
		record->others.percent = difference_(load.answer_percent,
						     record->reported.percent);
	}
}
