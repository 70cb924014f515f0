#ifndef PRIVATE_POLLER_H
#define PRIVATE_POLLER_H

#include <glib.h>
#include <stdint.h>

/*
 * Watches many sockets through one epoll instance and one source of the main
 * loop, so that the cost of an iteration depends on how many sockets are ready
 * and not on how many are watched.
 */
typedef struct cb_poller cb_poller_t;
typedef struct cb_watch cb_watch_t;

typedef enum cb_watch_events {
	CB_WATCH_READABLE = 1 << 0,
	CB_WATCH_CLOSED = 1 << 1, /* the peer closed its side, or an error */
	CB_WATCH_WRITABLE = 1 << 2,
} cb_watch_events_t;

/* Called with the cb_watch_events_t that have occurred in `events`. */
typedef void (*cb_watch_fn_t)(unsigned int events, void *user_data);

cb_poller_t *cb_poller_new(GMainContext *context);
void cb_poller_limit_batch(cb_poller_t *poller, int max_events);
void cb_poller_delete(cb_poller_t *poller);
cb_watch_t *cb_watch_new(cb_poller_t *poller, int fd, unsigned int events,
			 cb_watch_fn_t fn, void *user_data);
void cb_watch_set_events(cb_watch_t *watch, unsigned int events);
void cb_watch_schedule_call(cb_watch_t *watch);
void cb_watch_delete(cb_watch_t *watch);

#endif
