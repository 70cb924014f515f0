#ifndef CURRANTBRIDGE_CLOCK_H
#define CURRANTBRIDGE_CLOCK_H

#include <glib.h>
#include <stdint.h>

/*
 * A clock with one-shot timers.  Every module is given the clock that it
 * uses, so that a test can pass a paused clock and advance time itself.
 */
typedef struct cb_clock cb_clock_t;
typedef struct cb_timer cb_timer_t;
typedef void (*cb_timer_fn_t)(void *user_data);
typedef void (*cb_clock_lateness_fn_t)(int64_t late_ms, void *user_data);

cb_clock_t *cb_clock_new(GMainContext *context);
cb_clock_t *cb_clock_new_paused(int64_t start_ms);
void cb_clock_delete(cb_clock_t *clock);

int64_t cb_clock_now_us(const cb_clock_t *clock);
int64_t cb_clock_now_ms(const cb_clock_t *clock);
int64_t cb_clock_wall_ms(const cb_clock_t *clock);
/* How late the last timer fired, in ms: this process was busy or stopped. */
int64_t cb_clock_lateness_ms(const cb_clock_t *clock);
/* The worst lateness of the last second, or of a timer that is overdue now. */
int64_t cb_clock_worst_lateness_ms(const cb_clock_t *clock);
/*
 * Calls `fn`, which must not delete timers, before each timer fires.  A clock
 * has one watcher.
 */
void cb_clock_watch_lateness(cb_clock_t *clock, cb_clock_lateness_fn_t fn,
			     void *user_data);
void cb_clock_unwatch_lateness(cb_clock_t *clock, const void *user_data);

void cb_clock_advance(cb_clock_t *clock, int64_t delta_ms);
void cb_clock_stall(cb_clock_t *clock, int64_t delta_ms);
int64_t cb_clock_next_deadline_ms(const cb_clock_t *clock);

cb_timer_t *cb_timer_new(cb_clock_t *clock, cb_timer_fn_t fn, void *user_data);
void cb_timer_delete(cb_timer_t *timer);
void cb_timer_start(cb_timer_t *timer, int64_t delay_ms);
void cb_timer_start_sooner(cb_timer_t *timer, int64_t delay_ms);
void cb_timer_stop(cb_timer_t *timer);
int cb_timer_is_armed(const cb_timer_t *timer);

#endif
