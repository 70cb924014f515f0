#include "private/reach.h"

/* Shortest time between two checks of a group whose way is open. */
#define CHECK_INTERVAL_MS 250
/*
 * An overdue answer is no sign of loss while other data of the group arrives
 * at least this often.
 */
#define QUIET_MS 100
/*
 * Data that arrives this long after the way was lost shows that connections
 * live on; until then it may have been under way.
 */
#define LIVES_ON_MS 100
/* Open connections have gone silent if they pass no data for this long. */
#define LIVES_ON_SILENCE_MS 400
/*
 * A lost way has become silent after this many mute checks in a row: one of them
 * may only be late.
 */
#define MUTE_CHECKS_MIN 3
/*
 * After a check that most servers failed, losses may be this instance's own.
 */
#define IMPAIRED_MS 2000

const char *const cb_reach_state_string[CB_REACH_STATE_COUNT] = {
	[CB_REACH_OPEN] = "open",	  [CB_REACH_CHECKING] = "checking",
	[CB_REACH_NEW_LOST] = "new_lost", [CB_REACH_SILENT] = "silent",
	[CB_REACH_LOST] = "lost",
};

struct cb_reach_group {
	cb_reach_t *reach;
	char *data_centre;
	cb_reach_state_t state;
	int64_t since_ms;
	int64_t checked_ms; /* end of the last check of an open way; 0: none */
	int64_t heard_ms;   /* last data of a server; 0: none */
	unsigned int pending; /* servers whose check is not complete */
	/* Whether a check is in progress of whether a lost way is back. */
	gboolean is_returning;
	gboolean may_be_back;
	/* Whether one server alone was checked: its failure may be its own. */
	gboolean is_single;
	unsigned int
		checked_count; /* servers of the last check of an open way */
	unsigned int results[CB_REACH_RESULT_COUNT];
	unsigned int mute_count; /* the last checks in a row that were mute */
};

struct cb_reach {
	cb_clock_t *clock;
	GPtrArray *groups;
	unsigned int doubt_count; /* groups whose way is not open */
	/* When most of the checked servers failed last; 0: never. */
	int64_t failed_ms;
	gboolean has_answered; /* a check was answered */
};

static void group_free_(void *data)
{
	cb_reach_group_t *group = data;

	g_free(group->data_centre);
	g_free(group);
}

/* Creates the state of one instance; `clock` must outlive it. */
cb_reach_t *cb_reach_new(cb_clock_t *clock)
{
	cb_reach_t *reach = g_new0(cb_reach_t, 1);

	reach->clock = clock;
	reach->groups = g_ptr_array_new_with_free_func(group_free_);
	return reach;
}

/* Frees the state; NULL is allowed. */
void cb_reach_delete(cb_reach_t *reach)
{
	if (!reach)
		return;
	g_ptr_array_unref(reach->groups);
	g_free(reach);
}

static cb_reach_group_t *group_find_(const cb_reach_t *reach,
				     const char *data_centre)
{
	unsigned int i;

	for (i = 0; i < reach->groups->len; i++) {
		cb_reach_group_t *group = reach->groups->pdata[i];

		if (!g_strcmp0(group->data_centre, data_centre))
			return group;
	}
	return NULL;
}

/* Returns the group of a data centre, creating it if there is none. */
cb_reach_group_t *cb_reach_get_group(cb_reach_t *reach, const char *data_centre)
{
	cb_reach_group_t *group = group_find_(reach, data_centre);

	if (group)
		return group;
	group = g_new0(cb_reach_group_t, 1);
	group->reach = reach;
	group->data_centre = g_strdup(data_centre);
	group->since_ms = cb_clock_now_ms(reach->clock);
	g_ptr_array_add(reach->groups, group);
	return group;
}

/* Returns the groups that were used so far. */
const GPtrArray *cb_reach_groups(const cb_reach_t *reach)
{
	return reach->groups;
}

/* Returns the name of the group's data centre. */
const char *cb_reach_group_data_centre(const cb_reach_group_t *group)
{
	return group->data_centre;
}

/* Returns what is known of the way to the group's servers. */
cb_reach_state_t cb_reach_group_state(const cb_reach_group_t *group)
{
	return group->state;
}

/* Records that data of a server of the group has arrived. */
void cb_reach_group_hear(cb_reach_group_t *group)
{
	group->heard_ms = cb_clock_now_ms(group->reach->clock);
}

static gboolean state_set_(cb_reach_group_t *group, cb_reach_state_t state);

/* Records that a request was answered over a new connection. */
void cb_reach_group_prove(cb_reach_group_t *group)
{
	cb_reach_group_hear(group);
	if (group->state != CB_REACH_OPEN)
		group->checked_ms = group->heard_ms;
	group->is_returning = FALSE;
	group->may_be_back = FALSE;
	state_set_(group, CB_REACH_OPEN);
}

/* Returns how long no data of the group's servers has arrived; -1: never. */
int64_t cb_reach_group_silent_ms(const cb_reach_group_t *group)
{
	return group->heard_ms ?
		       cb_clock_now_ms(group->reach->clock) - group->heard_ms :
		       -1;
}

/* Returns whether open connections to the group's servers have passed data lately. */
gboolean cb_reach_group_is_heard(const cb_reach_group_t *group)
{
	return group->heard_ms &&
	       cb_clock_now_ms(group->reach->clock) - group->heard_ms <
		       QUIET_MS;
}

/* Returns when the group's state began. */
int64_t cb_reach_group_since_ms(const cb_reach_group_t *group)
{
	return group->since_ms;
}

/* Returns how many checks ended in each way since the last check began. */
const unsigned int *cb_reach_group_results(const cb_reach_group_t *group)
{
	return group->results;
}

/* Sets the group's state; returns whether it is another one. */
static gboolean state_set_(cb_reach_group_t *group, cb_reach_state_t state)
{
	if (group->state == state)
		return FALSE;
	group->reach->doubt_count += group->state == CB_REACH_OPEN;
	group->reach->doubt_count -= state == CB_REACH_OPEN;
	group->state = state;
	group->since_ms = cb_clock_now_ms(group->reach->clock);
	return TRUE;
}

/*
 * Returns whether a sign of loss is to be checked now: not while a check is in
 * progress, soon after one, or while the servers are heard and only late.
 */
gboolean cb_reach_group_suspects(const cb_reach_group_t *group,
				 cb_reach_sign_t sign)
{
	int64_t now_ms = cb_clock_now_ms(group->reach->clock);

	if (group->state != CB_REACH_OPEN ||
	    (group->checked_ms &&
	     now_ms - group->checked_ms < CHECK_INTERVAL_MS))
		return FALSE;
	return sign == CB_REACH_SIGN_FAILED || !cb_reach_group_is_heard(group);
}

/* Begins the check of `count` servers. */
void cb_reach_group_begin(cb_reach_group_t *group, unsigned int count)
{
	unsigned int i;

	g_assert(count);
	group->pending = count;
	group->may_be_back = FALSE;
	group->is_returning = group->state != CB_REACH_OPEN;
	if (group->is_returning)
		return;
	for (i = 0; i < CB_REACH_RESULT_COUNT; i++)
		group->results[i] = 0;
	group->is_single = count == 1;
	group->checked_count = count;
	state_set_(group, CB_REACH_CHECKING);
}

/* Returns the state of a lost way by the failed checks. */
static cb_reach_state_t lost_state_find_(const cb_reach_group_t *group,
					 cb_reach_result_t last_result)
{
	int64_t now_ms = cb_clock_now_ms(group->reach->clock);

	if (group->heard_ms - group->since_ms >= LIVES_ON_MS &&
	    now_ms - group->heard_ms < LIVES_ON_SILENCE_MS) {
		if (group->state != CB_REACH_CHECKING)
			return CB_REACH_NEW_LOST;
		/* Connections are made and open ones live: servers are late. */
		if (group->results[CB_REACH_MUTE])
			return CB_REACH_OPEN;
	}
	if (group->state == CB_REACH_NEW_LOST &&
	    now_ms - group->heard_ms < LIVES_ON_SILENCE_MS)
		return CB_REACH_NEW_LOST;
	if (group->state == CB_REACH_CHECKING)
		return group->results[CB_REACH_MUTE] ? CB_REACH_SILENT :
						       CB_REACH_LOST;
	if (last_result != CB_REACH_MUTE)
		return CB_REACH_LOST;
	return group->state == CB_REACH_SILENT ||
			       group->mute_count >= MUTE_CHECKS_MIN ?
		       CB_REACH_SILENT :
		       CB_REACH_LOST;
}

/*
 * Adds an answer.  One ends the check of an open way.  A lost way is back once all
 * servers of a check have answered: while packets or some servers are lost, it
 * doesn't flap.
 */
static gboolean answer_add_(cb_reach_group_t *group)
{
	group->reach->has_answered = TRUE;
	if (group->state == CB_REACH_OPEN)
		return FALSE;
	if (group->state != CB_REACH_CHECKING && !group->is_returning) {
		group->may_be_back = TRUE;
		return FALSE;
	}
	if (group->is_returning && group->pending)
		return FALSE;
	group->is_returning = FALSE;
	group->checked_ms = cb_clock_now_ms(group->reach->clock);
	return state_set_(group, CB_REACH_OPEN);
}

/*
 * Returns whether most of the checked servers did not answer: that is more than
 * a few servers that have ended.
 */
static gboolean most_have_failed_(const cb_reach_group_t *group)
{
	unsigned int failed = group->results[CB_REACH_REFUSED] +
			      group->results[CB_REACH_UNANSWERED] +
			      group->results[CB_REACH_MUTE];

	return failed * 2 > group->checked_count;
}

/*
 * Adds a check that could not be made: the others decide, and without others the way
 * is as open as before.
 */
static gboolean unmade_add_(cb_reach_group_t *group)
{
	group->pending -= MIN(group->pending, 1);
	group->checked_count -= MIN(group->checked_count, 1);
	group->is_returning = FALSE;
	if (group->state != CB_REACH_CHECKING || group->pending)
		return FALSE;
	group->checked_ms = cb_clock_now_ms(group->reach->clock);
	if (group->checked_count)
		return state_set_(group,
				  lost_state_find_(group, CB_REACH_UNMADE));
	return state_set_(group, CB_REACH_OPEN);
}

/* Adds the result of a check; returns whether the state has changed. */
gboolean cb_reach_group_add(cb_reach_group_t *group, cb_reach_result_t result)
{
	if (result == CB_REACH_UNMADE)
		return unmade_add_(group);
	group->results[result]++;
	group->mute_count = result == CB_REACH_MUTE ? group->mute_count + 1 : 0;
	group->pending -= MIN(group->pending, 1);
	if (result == CB_REACH_ANSWERED)
		return answer_add_(group);
	if (most_have_failed_(group))
		group->reach->failed_ms = cb_clock_now_ms(group->reach->clock);
	group->is_returning = FALSE;
	if (group->state == CB_REACH_OPEN ||
	    (group->state == CB_REACH_CHECKING && group->pending))
		return FALSE;
	if (group->state == CB_REACH_CHECKING)
		group->checked_ms = cb_clock_now_ms(group->reach->clock);
	return state_set_(group, lost_state_find_(group, result));
}

/* Returns whether the last single check of a lost way was answered. */
gboolean cb_reach_group_may_be_back(const cb_reach_group_t *group)
{
	return group->may_be_back;
}

/* Returns whether any check was ever answered. */
gboolean cb_reach_has_answered(const cb_reach_t *reach)
{
	return reach->has_answered;
}

/* Returns whether most of the checked servers have failed lately. */
gboolean cb_reach_is_impaired(const cb_reach_t *reach)
{
	return reach->failed_ms &&
	       cb_clock_now_ms(reach->clock) - reach->failed_ms < IMPAIRED_MS;
}

/* Returns whether a group's way is lost, by more than one server. */
static gboolean group_is_lost_(const cb_reach_group_t *group)
{
	const cb_reach_t *reach = group->reach;
	unsigned int i;

	if (group->state == CB_REACH_OPEN || group->state == CB_REACH_CHECKING)
		return FALSE;
	if (!group->is_single)
		return TRUE;
	for (i = 0; i < reach->groups->len; i++) {
		const cb_reach_group_t *other = reach->groups->pdata[i];

		if (other != group && (other->state == CB_REACH_OPEN ||
				       other->state == CB_REACH_CHECKING))
			return FALSE;
	}
	return reach->groups->len > 1;
}

/* Returns whether what this instance sees of the servers may be its own way. */
gboolean cb_reach_is_doubtful(const cb_reach_t *reach, const char *data_centre)
{
	const cb_reach_group_t *group;

	if (!reach->doubt_count)
		return FALSE;
	group = group_find_(reach, data_centre);
	return group &&
	       (group->state == CB_REACH_CHECKING || group_is_lost_(group));
}

/* Returns whether the way to the servers of a data centre is lost. */
gboolean cb_reach_is_lost(const cb_reach_t *reach, const char *data_centre)
{
	const cb_reach_group_t *group;

	if (!reach->doubt_count)
		return FALSE;
	group = group_find_(reach, data_centre);
	return group && group_is_lost_(group);
}

/* Returns whether the way to any data centre is not open. */
gboolean cb_reach_has_doubts(const cb_reach_t *reach)
{
	return reach->doubt_count > 0;
}
