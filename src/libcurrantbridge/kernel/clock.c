#include "currantbridge/clock.h"

#define US_PER_MS 1000
/* From this lateness on, sockets are read before an overdue timer fires. */
#define OVERDUE_US (10 * US_PER_MS)
/* The worst lateness is known for the current part of a second and 10 before. */
#define LATE_SLOT_US (100 * US_PER_MS)
#define LATE_SLOTS 11

typedef struct cb_clock_vtable {
	int64_t (*now_us)(const cb_clock_t *clock);
	int64_t (*wall_ms)(const cb_clock_t *clock);
	/* Called when the earliest deadline may have changed. */
	void (*deadline_changed)(cb_clock_t *clock);
} cb_clock_vtable_t;

/* The worst lateness of the timers that fired in one part of a second. */
typedef struct late_slot {
	int64_t number; /* the time divided by LATE_SLOT_US */
	int64_t worst_us;
} late_slot_t;

struct cb_clock {
	const cb_clock_vtable_t *vtable;
	GSequence *armed_timers; /* sorted by timer_compare_() */
	uint64_t next_start_number;
	int64_t paused_now_us; /* the time of a paused clock */
	int64_t lateness_us;   /* how late the last timer fired */
	late_slot_t late_slots[LATE_SLOTS];
	/* Called with the lateness of each timer; NULL: nobody watches. */
	cb_clock_lateness_fn_t lateness_fn;
	void *lateness_user_data;
	/* Main loop source that fires the timers; NULL in a paused clock. */
	GSource *source;
	/* Time at which the source is next dispatched; -1: never. */
	int64_t wake_us;
	/* Overdue timers were put off to the next iteration of the loop. */
	gboolean has_put_off;
};

struct cb_timer {
	cb_clock_t *clock;
	cb_timer_fn_t fn;
	void *user_data;
	int64_t deadline_us;
	uint64_t start_number; /* sequence number of the last start */
	/* The timer's place in armed_timers; NULL if not armed. */
	GSequenceIter *position;
};

/* The main loop's source that fires the timers of a running clock. */
typedef struct clock_source {
	GSource source;
	cb_clock_t *clock;
} clock_source_t;

/* Orders timers by deadline, and those with equal deadlines by their start. */
static int timer_compare_(const void *left, const void *right, void *unused)
{
	const cb_timer_t *a = left;
	const cb_timer_t *b = right;

	(void)unused;
	if (a->deadline_us != b->deadline_us)
		return a->deadline_us < b->deadline_us ? -1 : 1;
	if (a->start_number != b->start_number)
		return a->start_number < b->start_number ? -1 : 1;
	return 0;
}

/* Returns the timer that fires next, or NULL when none is armed. */
static cb_timer_t *earliest_timer_find_(const cb_clock_t *clock)
{
	GSequenceIter *first = g_sequence_get_begin_iter(clock->armed_timers);

	if (g_sequence_iter_is_end(first))
		return NULL;
	return g_sequence_get(first);
}

/* Records how late the timer is that is about to fire at `now_us`. */
static void lateness_record_(cb_clock_t *clock, int64_t late_us, int64_t now_us)
{
	int64_t number = now_us / LATE_SLOT_US;
	late_slot_t *slot = &clock->late_slots[number % LATE_SLOTS];

	clock->lateness_us = late_us;
	if (slot->number != number)
		*slot = (late_slot_t){ .number = number };
	slot->worst_us = MAX(slot->worst_us, late_us);
	if (clock->lateness_fn)
		clock->lateness_fn(late_us / US_PER_MS,
				   clock->lateness_user_data);
}

/*
 * Fires the next timer if its deadline is at or before `limit_us`.  Returns
 * whether one fired.
 */
static int due_timer_fire_(cb_clock_t *clock, int64_t limit_us)
{
	cb_timer_t *timer = earliest_timer_find_(clock);

	if (!timer || timer->deadline_us > limit_us)
		return 0;
	g_sequence_remove(timer->position);
	timer->position = NULL;
	lateness_record_(clock, limit_us - timer->deadline_us, limit_us);
	timer->fn(timer->user_data);
	return 1;
}

static int64_t running_now_us_(const cb_clock_t *clock)
{
	(void)clock;
	return g_get_monotonic_time();
}

static int64_t running_wall_ms_(const cb_clock_t *clock)
{
	(void)clock;
	return g_get_real_time() / US_PER_MS;
}

static void wake_time_set_(cb_clock_t *clock, int64_t wake_us)
{
	clock->wake_us = wake_us;
	g_source_set_ready_time(clock->source, wake_us);
}

/*
 * Only moves the wake-up time to an earlier one, because each move costs a
 * write that wakes the loop, and most changes of a deadline postpone it.  A
 * wake-up that comes too early fires nothing and sets the next wake-up time.
 */
static void running_deadline_changed_(cb_clock_t *clock)
{
	cb_timer_t *timer = earliest_timer_find_(clock);

	if (!timer)
		return;
	if (clock->wake_us < 0 || timer->deadline_us < clock->wake_us)
		wake_time_set_(clock, timer->deadline_us);
}

/*
 * Puts off timers that are overdue, once, since the process was busy or stopped:
 * the sockets are read in the same iteration, and may bring what a timer waits
 * for.  Returns FALSE if the timers are to fire now.
 */
static gboolean overdue_timers_put_off_(cb_clock_t *clock, int64_t now_us)
{
	const cb_timer_t *timer = earliest_timer_find_(clock);

	clock->has_put_off = !clock->has_put_off && timer &&
			     now_us - timer->deadline_us >= OVERDUE_US;
	if (clock->has_put_off)
		wake_time_set_(clock, now_us);
	return clock->has_put_off;
}

/*
 * Fires the timers that are due when the dispatch begins.  Timers armed
 * meanwhile wait for the next dispatch.
 */
static gboolean clock_dispatch_(GSource *source, GSourceFunc fn, void *data)
{
	cb_clock_t *clock = ((clock_source_t *)source)->clock;
	int64_t now_us = g_get_monotonic_time();
	cb_timer_t *timer;

	(void)fn;
	(void)data;
	if (overdue_timers_put_off_(clock, now_us))
		return G_SOURCE_CONTINUE;
	while (due_timer_fire_(clock, now_us))
		;
	timer = earliest_timer_find_(clock);
	wake_time_set_(clock, timer ? timer->deadline_us : -1);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs clock_source_funcs = { .dispatch = clock_dispatch_ };

static int64_t paused_time_get_us_(const cb_clock_t *clock)
{
	return clock->paused_now_us;
}

static int64_t paused_wall_ms_(const cb_clock_t *clock)
{
	return clock->paused_now_us / US_PER_MS;
}

static void paused_deadline_changed_(cb_clock_t *clock)
{
	(void)clock;
}

static const cb_clock_vtable_t running_vtable = {
	.now_us = running_now_us_,
	.wall_ms = running_wall_ms_,
	.deadline_changed = running_deadline_changed_,
};

static const cb_clock_vtable_t paused_vtable = {
	.now_us = paused_time_get_us_,
	.wall_ms = paused_wall_ms_,
	.deadline_changed = paused_deadline_changed_,
};

static cb_clock_t *clock_new_(const cb_clock_vtable_t *vtable)
{
	cb_clock_t *clock = g_new0(cb_clock_t, 1);

	clock->vtable = vtable;
	clock->armed_timers = g_sequence_new(NULL);
	return clock;
}

/*
 * Creates a clock that follows the system's monotonic clock and fires its
 * timers from `context`; NULL means the default context.
 */
cb_clock_t *cb_clock_new(GMainContext *context)
{
	cb_clock_t *clock = clock_new_(&running_vtable);

	clock->source =
		g_source_new(&clock_source_funcs, sizeof(clock_source_t));
	((clock_source_t *)clock->source)->clock = clock;
	g_source_set_name(clock->source, "cb-clock");
	wake_time_set_(clock, -1);
	g_source_attach(clock->source, context);
	return clock;
}

/*
 * Creates a clock that stays at `start_ms` until cb_clock_advance() is called.
 */
cb_clock_t *cb_clock_new_paused(int64_t start_ms)
{
	cb_clock_t *clock = clock_new_(&paused_vtable);

	clock->paused_now_us = start_ms * US_PER_MS;
	return clock;
}

/* Deletes a clock.  All its timers must have been deleted before. */
void cb_clock_delete(cb_clock_t *clock)
{
	if (!clock)
		return;
	if (clock->source) {
		g_source_destroy(clock->source);
		g_source_unref(clock->source);
	}
	g_sequence_free(clock->armed_timers);
	g_free(clock);
}

/* Returns the monotonic time in microseconds since an arbitrary origin. */
int64_t cb_clock_now_us(const cb_clock_t *clock)
{
	return clock->vtable->now_us(clock);
}

/* Returns the monotonic time in milliseconds since an arbitrary origin. */
int64_t cb_clock_now_ms(const cb_clock_t *clock)
{
	return clock->vtable->now_us(clock) / US_PER_MS;
}

/*
 * Returns the wall-clock time in milliseconds since 1970 UTC, for records that
 * people read.
 */
int64_t cb_clock_wall_ms(const cb_clock_t *clock)
{
	return clock->vtable->wall_ms(clock);
}

/*
 * Returns how late the last timer fired, in milliseconds: for how long this
 * process was busy or stopped before.
 */
int64_t cb_clock_lateness_ms(const cb_clock_t *clock)
{
	return clock->lateness_us / US_PER_MS;
}

/*
 * Returns the worst lateness in milliseconds of the timers that fired in the last
 * second, or that are overdue now: for how long this process was busy or stopped.
 */
int64_t cb_clock_worst_lateness_ms(const cb_clock_t *clock)
{
	const cb_timer_t *timer = earliest_timer_find_(clock);
	int64_t now_us = cb_clock_now_us(clock);
	int64_t oldest = now_us / LATE_SLOT_US - LATE_SLOTS + 1;
	int64_t worst_us = timer ? MAX(now_us - timer->deadline_us, 0) : 0;
	int i;

	for (i = 0; i < LATE_SLOTS; i++)
		if (clock->late_slots[i].number >= oldest)
			worst_us = MAX(worst_us, clock->late_slots[i].worst_us);
	return worst_us / US_PER_MS;
}

/*
 * Calls `fn` before each timer fires, with how late it is in milliseconds.  A
 * clock has one watcher; the last one replaces those before.
 */
void cb_clock_watch_lateness(cb_clock_t *clock, cb_clock_lateness_fn_t fn,
			     void *user_data)
{
	clock->lateness_fn = fn;
	clock->lateness_user_data = user_data;
}

/* Ends the calls for `user_data`; has no effect if another one watches now. */
void cb_clock_unwatch_lateness(cb_clock_t *clock, const void *user_data)
{
	if (clock->lateness_user_data == user_data)
		cb_clock_watch_lateness(clock, NULL, NULL);
}

/*
 * Moves a paused clock on by `delta_ms` (0 or more) and fires no timer, like a
 * process that is stopped or busy.  Timers that became due fire late, in the
 * next cb_clock_advance().
 */
void cb_clock_stall(cb_clock_t *clock, int64_t delta_ms)
{
	g_assert(clock->vtable == &paused_vtable && delta_ms >= 0);
	clock->paused_now_us += delta_ms * US_PER_MS;
}

/*
 * Advances a paused clock by `delta_ms` (0 or more).  Timers that become due
 * fire in order, each with the clock at its deadline.
 */
void cb_clock_advance(cb_clock_t *clock, int64_t delta_ms)
{
	int64_t end_us = clock->paused_now_us + delta_ms * US_PER_MS;
	cb_timer_t *timer;

	g_assert(clock->vtable == &paused_vtable && delta_ms >= 0);
	while ((timer = earliest_timer_find_(clock)) &&
	       timer->deadline_us <= end_us) {
		if (timer->deadline_us > clock->paused_now_us)
			clock->paused_now_us = timer->deadline_us;
		due_timer_fire_(clock, clock->paused_now_us);
	}
	clock->paused_now_us = end_us;
}

/*
 * Returns the earliest deadline in milliseconds of the clock, rounded up, or
 * -1 if no timer is armed.
 */
int64_t cb_clock_next_deadline_ms(const cb_clock_t *clock)
{
	cb_timer_t *timer = earliest_timer_find_(clock);

	if (!timer)
		return -1;
	return (timer->deadline_us + US_PER_MS - 1) / US_PER_MS;
}

/* Creates a stopped timer that calls `fn` with `user_data` when it fires. */
cb_timer_t *cb_timer_new(cb_clock_t *clock, cb_timer_fn_t fn, void *user_data)
{
	cb_timer_t *timer = g_new0(cb_timer_t, 1);

	timer->clock = clock;
	timer->fn = fn;
	timer->user_data = user_data;
	return timer;
}

/* Stops and deletes a timer; NULL is allowed. */
void cb_timer_delete(cb_timer_t *timer)
{
	if (!timer)
		return;
	cb_timer_stop(timer);
	g_free(timer);
}

/*
 * Arms a timer to fire once after `delay_ms` (negative counts as 0).  An
 * armed timer is restarted.
 */
void cb_timer_start(cb_timer_t *timer, int64_t delay_ms)
{
	cb_clock_t *clock = timer->clock;

	if (timer->position)
		g_sequence_remove(timer->position);
	timer->deadline_us =
		cb_clock_now_us(clock) + MAX(delay_ms, 0) * US_PER_MS;
	timer->start_number = clock->next_start_number++;
	timer->position = g_sequence_insert_sorted(clock->armed_timers, timer,
						   timer_compare_, NULL);
	clock->vtable->deadline_changed(clock);
}

/* Arms a timer like cb_timer_start(), unless it already fires sooner. */
void cb_timer_start_sooner(cb_timer_t *timer, int64_t delay_ms)
{
	int64_t deadline_us =
		cb_clock_now_us(timer->clock) + MAX(delay_ms, 0) * US_PER_MS;

	if (!timer->position || deadline_us < timer->deadline_us)
		cb_timer_start(timer, delay_ms);
}

/* Disarms a timer; has no effect on one that is not armed. */
void cb_timer_stop(cb_timer_t *timer)
{
	if (!timer->position)
		return;
	g_sequence_remove(timer->position);
	timer->position = NULL;
	timer->clock->vtable->deadline_changed(timer->clock);
}

/* Returns whether a timer is armed. */
int cb_timer_is_armed(const cb_timer_t *timer)
{
	return timer->position != NULL;
}
