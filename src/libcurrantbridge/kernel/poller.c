#include "private/poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#define MAX_EVENTS_PER_DISPATCH 256

struct cb_poller {
	GSource *source;
	int fd;
	GPtrArray *scheduled; /* watches to call even if not ready, not owned */
	GPtrArray *deleted;   /* watches to free when the dispatch ends */
	gboolean is_dispatching;
	int max_events; /* most ready watches that one dispatch calls */
};

struct cb_watch {
	cb_poller_t *poller;
	int fd;
	unsigned int events; /* cb_watch_events_t */
	gboolean is_deleted;
	gboolean is_scheduled;
	cb_watch_fn_t fn;
	void *user_data;
};

typedef struct poller_source {
	GSource source;
	cb_poller_t *poller;
} poller_source_t;

/* Calls a watch, unless it is deleted, with the epoll events in `ready`. */
static void watch_call_(cb_watch_t *watch, uint32_t ready)
{
	unsigned int events = 0;

	if (watch->is_deleted)
		return;
	if (ready & EPOLLIN)
		events |= CB_WATCH_READABLE;
	if (ready & EPOLLOUT)
		events |= CB_WATCH_WRITABLE;
	if (ready & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		events |= CB_WATCH_CLOSED;
	watch->fn(events, watch->user_data);
}

/* Calls the watches that were scheduled before this dispatch. */
static void scheduled_watches_call_(cb_poller_t *poller)
{
	GPtrArray *scheduled = poller->scheduled;
	unsigned int i;

	if (scheduled->len == 0)
		return;
	poller->scheduled = g_ptr_array_new();
	for (i = 0; i < scheduled->len; i++) {
		cb_watch_t *watch = g_ptr_array_index(scheduled, i);

		watch->is_scheduled = FALSE;
		watch_call_(watch, EPOLLIN);
	}
	g_ptr_array_unref(scheduled);
}

static gboolean poller_dispatch_(GSource *source, GSourceFunc fn,
				 void *user_data)
{
	cb_poller_t *poller = ((poller_source_t *)source)->poller;
	struct epoll_event events[MAX_EVENTS_PER_DISPATCH];
	int count = epoll_wait(poller->fd, events, poller->max_events, 0);
	int i;

	(void)fn;
	(void)user_data;
	g_source_set_ready_time(source, -1);
	poller->is_dispatching = TRUE;
	scheduled_watches_call_(poller);
	for (i = 0; i < count; i++)
		watch_call_(events[i].data.ptr, events[i].events);
	poller->is_dispatching = FALSE;
	g_ptr_array_set_size(poller->deleted, 0);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs poller_funcs = { .dispatch = poller_dispatch_ };

/* Creates a poller that calls its watches from `context`. */
cb_poller_t *cb_poller_new(GMainContext *context)
{
	cb_poller_t *poller = g_new0(cb_poller_t, 1);

	poller->fd = epoll_create1(EPOLL_CLOEXEC);
	g_assert(poller->fd >= 0);
	poller->max_events = MAX_EVENTS_PER_DISPATCH;
	poller->scheduled = g_ptr_array_new();
	poller->deleted = g_ptr_array_new_with_free_func(g_free);
	poller->source = g_source_new(&poller_funcs, sizeof(poller_source_t));
	((poller_source_t *)poller->source)->poller = poller;
	g_source_add_unix_fd(poller->source, poller->fd, G_IO_IN);
	g_source_attach(poller->source, context);
	return poller;
}

/*
 * Limits how many ready watches are called before other sources of the main loop
 * and the clock get a turn; the rest are called in the next iterations.
 */
void cb_poller_limit_batch(cb_poller_t *poller, int max_events)
{
	poller->max_events = CLAMP(max_events, 1, MAX_EVENTS_PER_DISPATCH);
}

/*
 * Deletes a poller.  All its watches must have been deleted before.  Must not
 * be called by a watch.  NULL is allowed.
 */
void cb_poller_delete(cb_poller_t *poller)
{
	if (!poller)
		return;
	g_assert(!poller->is_dispatching);
	g_source_destroy(poller->source);
	g_source_unref(poller->source);
	g_ptr_array_unref(poller->scheduled);
	g_ptr_array_unref(poller->deleted);
	close(poller->fd);
	g_free(poller);
}

static void watch_epoll_update_(cb_watch_t *watch, int operation)
{
	struct epoll_event event = { .data.ptr = watch };

	if (watch->events & CB_WATCH_READABLE)
		event.events |= EPOLLIN;
	if (watch->events & CB_WATCH_WRITABLE)
		event.events |= EPOLLOUT;
	if (watch->events & CB_WATCH_CLOSED)
		event.events |= EPOLLRDHUP;
	/* A failure is ignored: the next use of the fd reports the error. */
	epoll_ctl(watch->poller->fd, operation, watch->fd, &event);
}

/*
 * Watches `fd` for `events` (cb_watch_events_t) and calls `fn` when one occurs.
 * The watch must be deleted before the fd is closed.  An fd can have only one
 * watch at a time.
 */
cb_watch_t *cb_watch_new(cb_poller_t *poller, int fd, unsigned int events,
			 cb_watch_fn_t fn, void *user_data)
{
	cb_watch_t *watch = g_new0(cb_watch_t, 1);

	watch->poller = poller;
	watch->fd = fd;
	watch->fn = fn;
	watch->user_data = user_data;
	watch->events = events;
	watch_epoll_update_(watch, EPOLL_CTL_ADD);
	return watch;
}

/*
 * Replaces the events that are watched for.  Errors are always reported, as
 * CB_WATCH_CLOSED.
 */
void cb_watch_set_events(cb_watch_t *watch, unsigned int events)
{
	if (watch->events == events)
		return;
	watch->events = events;
	watch_epoll_update_(watch, EPOLL_CTL_MOD);
}

/*
 * Schedules a call of the watch with CB_WATCH_READABLE in the next iteration of
 * the loop, whether or not the socket is ready.
 */
void cb_watch_schedule_call(cb_watch_t *watch)
{
	if (watch->is_scheduled)
		return;
	watch->is_scheduled = TRUE;
	g_ptr_array_add(watch->poller->scheduled, watch);
	g_source_set_ready_time(watch->poller->source, 0);
}

/* Deletes a watch; a watch may call this for itself.  NULL is allowed. */
void cb_watch_delete(cb_watch_t *watch)
{
	cb_poller_t *poller;

	if (!watch)
		return;
	poller = watch->poller;
	epoll_ctl(poller->fd, EPOLL_CTL_DEL, watch->fd, NULL);
	watch->is_deleted = TRUE;
	if (watch->is_scheduled)
		g_ptr_array_remove(poller->scheduled, watch);
	if (poller->is_dispatching)
		g_ptr_array_add(poller->deleted, watch);
	else
		g_free(watch);
}
