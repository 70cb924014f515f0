#include "currantbridge/kernel.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "currantbridge/program.h"

#include "private/process.h"

/* A timer that fires later than this is logged, at most once in the interval. */
#define LATE_LOG_MIN_MS 100
#define LATE_LOG_INTERVAL_MS 1000

/* A registered service. */
typedef struct registration {
	char *name;
	cb_service_t *service;
	gboolean is_draining;
	gboolean is_drained;
} registration_t;

struct cb_kernel {
	GMainContext *context;
	GMainLoop *loop;
	cb_clock_t *clock;
	cb_log_t *log;
	cb_counters_t *counters;
	GPtrArray *registrations; /* registration_t, in order of registration */
	gboolean is_draining;
	cb_histogram_t *late_ms; /* how late each timer fired */
	int64_t worst_late_ms;	 /* worst lateness since the start */
	int64_t late_logged_ms;	 /* time of the last LOOP_LATE */
	/* Worst lateness since then that had no line of its own. */
	int64_t late_unlogged_ms;
};

/*
 * Logs that a timer is late, unless the last line is about the same delay of the
 * loop or was written a short time ago.
 */
static void late_timer_log_(cb_kernel_t *kernel, int64_t late_ms)
{
	int64_t now_ms = cb_clock_now_ms(kernel->clock);

	if (now_ms - late_ms <= kernel->late_logged_ms)
		return;
	if (now_ms - kernel->late_logged_ms < LATE_LOG_INTERVAL_MS) {
		kernel->late_unlogged_ms =
			MAX(kernel->late_unlogged_ms, late_ms);
		return;
	}
	cb_log_event(kernel->log, CB_EVENT_LOOP_LATE,
		     CB_INT("late_ms", late_ms),
		     CB_INT("unlogged_ms", kernel->late_unlogged_ms));
	kernel->late_logged_ms = now_ms;
	kernel->late_unlogged_ms = 0;
}

/* Called before each timer fires, with how late it is. */
static void lateness_handle_(int64_t late_ms, void *user_data)
{
	cb_kernel_t *kernel = user_data;

	cb_histogram_add(kernel->late_ms, late_ms);
	kernel->worst_late_ms = MAX(kernel->worst_late_ms, late_ms);
	if (late_ms > LATE_LOG_MIN_MS)
		late_timer_log_(kernel, late_ms);
}

/* Sets the gauges of the process before the counters are rendered. */
static void gauges_update_(void *user_data)
{
	cb_kernel_t *kernel = user_data;

	cb_counter_set(cb_counters_gauge(kernel->counters,
					 "cb_loop_worst_late_ms", NULL, NULL),
		       kernel->worst_late_ms);
	cb_process_update_gauges(kernel->counters);
}

/*
 * Creates a kernel on `context` (NULL: the default one).  The clock and the log
 * stay the caller's and must outlive the kernel.  The log may be NULL.
 */
cb_kernel_t *cb_kernel_new(GMainContext *context, cb_clock_t *clock,
			   cb_log_t *log)
{
	cb_kernel_t *kernel = g_new0(cb_kernel_t, 1);

	kernel->context = g_main_context_ref(
		context ? context : g_main_context_default());
	kernel->loop = g_main_loop_new(kernel->context, FALSE);
	kernel->clock = clock;
	kernel->log = log;
	kernel->counters = cb_counters_new();
	cb_log_set_counters(log, kernel->counters);
	cb_counters_on_render(kernel->counters, gauges_update_, kernel);
	kernel->late_ms = cb_counters_histogram(kernel->counters,
						"cb_loop_late_ms", NULL, NULL);
	kernel->late_logged_ms = cb_clock_now_ms(clock) - LATE_LOG_INTERVAL_MS;
	cb_clock_watch_lateness(clock, lateness_handle_, kernel);
	kernel->registrations = g_ptr_array_new();
	return kernel;
}

/* Deletes the kernel and its services, the last registered first. */
void cb_kernel_delete(cb_kernel_t *kernel)
{
	unsigned int i;

	if (!kernel)
		return;
	for (i = kernel->registrations->len; i > 0; i--) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i - 1);

		registration->service->vtable->destroy(registration->service);
		g_free(registration->name);
		g_free(registration);
	}
	g_ptr_array_unref(kernel->registrations);
	cb_clock_unwatch_lateness(kernel->clock, kernel);
	cb_log_set_counters(kernel->log, NULL);
	cb_counters_delete(kernel->counters);
	g_main_loop_unref(kernel->loop);
	g_main_context_unref(kernel->context);
	g_free(kernel);
}

/* Returns the main context that runs all work of the process. */
GMainContext *cb_kernel_context(const cb_kernel_t *kernel)
{
	return kernel->context;
}

/* Returns the clock that all services use. */
cb_clock_t *cb_kernel_clock(const cb_kernel_t *kernel)
{
	return kernel->clock;
}

/* Returns the log, which may be NULL; a NULL log ignores events. */
cb_log_t *cb_kernel_log(const cb_kernel_t *kernel)
{
	return kernel->log;
}

/* Returns the process's counters, served at /metrics. */
cb_counters_t *cb_kernel_counters(const cb_kernel_t *kernel)
{
	return kernel->counters;
}

/*
 * Registers a service under a name that must not be in use; the kernel takes
 * ownership.  Services start in order of registration.
 */
void cb_kernel_register(cb_kernel_t *kernel, const char *name,
			cb_service_t *service)
{
	registration_t *registration = g_new0(registration_t, 1);

	g_assert(!cb_kernel_find(kernel, name));
	registration->name = g_strdup(name);
	registration->service = service;
	g_ptr_array_add(kernel->registrations, registration);
}

/* Returns the service registered as `name`, or NULL. */
cb_service_t *cb_kernel_find(const cb_kernel_t *kernel, const char *name)
{
	unsigned int i;

	for (i = 0; i < kernel->registrations->len; i++) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i);

		if (!strcmp(registration->name, name))
			return registration->service;
	}
	return NULL;
}

/*
 * Starts the services in order of registration.  Sets the error and returns
 * FALSE at the first that fails.
 */
gboolean cb_kernel_start(cb_kernel_t *kernel, GError **error)
{
	unsigned int i;

	for (i = 0; i < kernel->registrations->len; i++) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i);
		cb_service_t *service = registration->service;

		if (service->vtable->start &&
		    !service->vtable->start(service, error)) {
			cb_log_event(kernel->log, CB_EVENT_SERVICE_START_FAILED,
				     CB_STR("service", registration->name));
			return FALSE;
		}
	}
	return TRUE;
}

/*
 * Drains the services one at a time in reverse order of registration, so that a
 * service can still use those registered before it.  Quits the loop when all
 * are drained.
 */
static void next_service_drain_(cb_kernel_t *kernel)
{
	unsigned int i;

	for (i = kernel->registrations->len; i > 0; i--) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i - 1);
		cb_service_t *service = registration->service;

		if (registration->is_drained)
			continue;
		if (registration->is_draining)
			return;
		registration->is_draining = TRUE;
		if (service->vtable->drain) {
			service->vtable->drain(service);
			return;
		}
		registration->is_drained = TRUE;
	}
	g_main_loop_quit(kernel->loop);
}

/* Begins a graceful stop; a second call has no effect. */
void cb_kernel_drain(cb_kernel_t *kernel)
{
	if (kernel->is_draining)
		return;
	kernel->is_draining = TRUE;
	cb_log_event(kernel->log, CB_EVENT_PROCESS_STOPPING);
	next_service_drain_(kernel);
}

/* Called by a draining service when it has finished its work. */
void cb_kernel_service_drained(cb_kernel_t *kernel, cb_service_t *service)
{
	unsigned int i;

	for (i = 0; i < kernel->registrations->len; i++) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i);

		if (registration->service == service)
			registration->is_drained = TRUE;
	}
	next_service_drain_(kernel);
}

/* Returns whether a graceful stop is complete. */
gboolean cb_kernel_is_drained(const cb_kernel_t *kernel)
{
	unsigned int i;

	for (i = 0; i < kernel->registrations->len; i++) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i);

		if (!registration->is_drained)
			return FALSE;
	}
	return kernel->is_draining;
}

static gboolean stop_signal_handle_(void *user_data)
{
	cb_kernel_drain(user_data);
	return G_SOURCE_CONTINUE;
}

/* Calls reload() of every service that has it. */
void cb_kernel_reload(cb_kernel_t *kernel)
{
	unsigned int i;

	cb_log_event(kernel->log, CB_EVENT_PROCESS_RELOADING);
	for (i = 0; i < kernel->registrations->len; i++) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i);

		if (registration->service->vtable->reload)
			registration->service->vtable->reload(
				registration->service);
	}
}

static gboolean reload_signal_handle_(int fd, GIOCondition condition,
				      void *user_data)
{
	struct signalfd_siginfo info;

	(void)condition;
	if (read(fd, &info, sizeof(info)) == (ssize_t)sizeof(info))
		cb_kernel_reload(user_data);
	return G_SOURCE_CONTINUE;
}

/*
 * Creates a source that reads SIGHUP from `fd`, a signalfd.  The signal stays
 * blocked, so that it never has its default action, as it would before a handler
 * is set and after it is removed.
 */
static GSource *reload_source_new_(cb_kernel_t *kernel, int fd)
{
	GSource *source = g_unix_fd_source_new(fd, G_IO_IN);

	g_source_set_callback(source, G_SOURCE_FUNC(reload_signal_handle_),
			      kernel, NULL);
	g_source_attach(source, kernel->context);
	return source;
}

/* Returns a file descriptor from which SIGHUP is read; -1 on an error. */
static int reload_signal_open_(void)
{
	sigset_t signals;

	cb_program_hold_reloads();
	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

static GSource *signal_source_new_(cb_kernel_t *kernel, int signal_number,
				   GSourceFunc callback)
{
	GSource *source = g_unix_signal_source_new(signal_number);

	g_source_set_callback(source, callback, kernel, NULL);
	g_source_attach(source, kernel->context);
	return source;
}

/*
 * Starts the services and runs the loop until SIGTERM or SIGINT arrives and the
 * graceful stop is complete.  SIGHUP reloads the settings, also one
 * that arrived since cb_program_hold_reloads(); it stays blocked afterwards.
 * Returns the exit code of the process.
 */
int cb_kernel_run(cb_kernel_t *kernel)
{
	GSource *terminate =
		signal_source_new_(kernel, SIGTERM, stop_signal_handle_);
	GSource *interrupt =
		signal_source_new_(kernel, SIGINT, stop_signal_handle_);
	int hang_up_fd = reload_signal_open_();
	GSource *hang_up = reload_source_new_(kernel, hang_up_fd);
	GError *error = NULL;
	int exit_code = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
	if (hang_up_fd < 0) {
		perror("signalfd");
		exit_code = EXIT_FAILURE;
		goto out;
	}
	if (!cb_kernel_start(kernel, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		exit_code = EXIT_FAILURE;
		goto out;
	}
	cb_log_event(kernel->log, CB_EVENT_PROCESS_STARTED);
	if (!cb_kernel_is_drained(kernel))
		g_main_loop_run(kernel->loop);
	cb_log_event(kernel->log, CB_EVENT_PROCESS_STOPPED);
out:
	g_source_destroy(terminate);
	g_source_destroy(interrupt);
	g_source_destroy(hang_up);
	g_source_unref(terminate);
	g_source_unref(interrupt);
	g_source_unref(hang_up);
	if (hang_up_fd >= 0)
		close(hang_up_fd);
	return exit_code;
}
