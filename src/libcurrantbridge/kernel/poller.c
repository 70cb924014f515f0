#include "private/poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_PER_TURN 256

struct cb_poller {
	GSource *source;
	int fd;
	GPtrArray *again;   /* watches to be called whatever is ready */
	GPtrArray *deleted; /* while events are handed out */
	gboolean is_dispatching;
};

struct cb_watch {
	cb_poller_t *poller;
	int fd;
	unsigned int events;
	gboolean is_deleted;
	gboolean is_again;
	cb_watch_fn_t fn;
	void *user_data;
};

typedef struct poller_source {
	GSource source;
	cb_poller_t *poller;
} poller_source_t;

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

/* Calls the watches that asked for it in the turn before. */
static void again_call_(cb_poller_t *poller)
{
	GPtrArray *again = poller->again;
	unsigned int i;

	if (again->len == 0)
		return;
	poller->again = g_ptr_array_new();
	for (i = 0; i < again->len; i++) {
		cb_watch_t *watch = g_ptr_array_index(again, i);

		watch->is_again = FALSE;
		watch_call_(watch, EPOLLIN);
	}
	g_ptr_array_unref(again);
}

static gboolean poller_dispatch_(GSource *source, GSourceFunc fn,
				 void *user_data)
{
	cb_poller_t *poller = ((poller_source_t *)source)->poller;
	struct epoll_event events[EVENTS_PER_TURN];
	int count = epoll_wait(poller->fd, events, EVENTS_PER_TURN, 0);
	int i;

	(void)fn;
	(void)user_data;
	g_source_set_ready_time(source, -1);
	poller->is_dispatching = TRUE;
	again_call_(poller);
	for (i = 0; i < count; i++)
		watch_call_(events[i].data.ptr, events[i].events);
	poller->is_dispatching = FALSE;
	g_ptr_array_set_size(poller->deleted, 0);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs poller_funcs = { .dispatch = poller_dispatch_ };

/* Makes a poller whose watches are called from `context`. */
cb_poller_t *cb_poller_new(GMainContext *context)
{
	cb_poller_t *poller = g_new0(cb_poller_t, 1);

	poller->fd = epoll_create1(EPOLL_CLOEXEC);
	g_assert(poller->fd >= 0);
	poller->again = g_ptr_array_new();
	poller->deleted = g_ptr_array_new_with_free_func(g_free);
	poller->source = g_source_new(&poller_funcs, sizeof(poller_source_t));
	((poller_source_t *)poller->source)->poller = poller;
	g_source_add_unix_fd(poller->source, poller->fd, G_IO_IN);
	g_source_attach(poller->source, context);
	return poller;
}

/* Deletes a poller, whose watches must have been deleted. */
void cb_poller_delete(cb_poller_t *poller)
{
	if (!poller)
		return;
	g_assert(!poller->is_dispatching);
	g_source_destroy(poller->source);
	g_source_unref(poller->source);
	g_ptr_array_unref(poller->again);
	g_ptr_array_unref(poller->deleted);
	close(poller->fd);
	g_free(poller);
}

static void epoll_set_(cb_watch_t *watch, int operation)
{
	struct epoll_event event = { .data.ptr = watch };

	if (watch->events & CB_WATCH_READABLE)
		event.events |= EPOLLIN;
	if (watch->events & CB_WATCH_WRITABLE)
		event.events |= EPOLLOUT;
	if (watch->events & CB_WATCH_CLOSED)
		event.events |= EPOLLRDHUP;
	/* An fd that cannot be watched is found out by whoever uses it. */
	epoll_ctl(watch->poller->fd, operation, watch->fd, &event);
}

/*
 * Watches `fd` until the watch is deleted, which must come before the fd is
 * closed.  One fd is watched once at a time.
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
	epoll_set_(watch, EPOLL_CTL_ADD);
	return watch;
}

/* Watches for other events from now on. */
void cb_watch_change(cb_watch_t *watch, unsigned int events)
{
	if (watch->events == events)
		return;
	watch->events = events;
	epoll_set_(watch, EPOLL_CTL_MOD);
}

/* Has the watch called in the next turn of the loop. */
void cb_watch_call_again(cb_watch_t *watch)
{
	if (watch->is_again)
		return;
	watch->is_again = TRUE;
	g_ptr_array_add(watch->poller->again, watch);
	g_source_set_ready_time(watch->poller->source, 0);
}

/* Ends a watch; NULL is allowed. */
void cb_watch_delete(cb_watch_t *watch)
{
	cb_poller_t *poller;

	if (!watch)
		return;
	poller = watch->poller;
	epoll_ctl(poller->fd, EPOLL_CTL_DEL, watch->fd, NULL);
	watch->is_deleted = TRUE;
	if (watch->is_again)
		g_ptr_array_remove(poller->again, watch);
	if (poller->is_dispatching)
		g_ptr_array_add(poller->deleted, watch);
	else
		g_free(watch);
}
