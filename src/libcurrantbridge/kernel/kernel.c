#include "currantbridge/kernel.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
	GPtrArray *registrations;
	gboolean is_draining;
};

/*
 * Makes a kernel on `context` (NULL: the default one).  It takes neither
 * the clock nor the log, which must outlive it.
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
	cb_log_set_counters(kernel->log, NULL);
	cb_counters_delete(kernel->counters);
	g_main_loop_unref(kernel->loop);
	g_main_context_unref(kernel->context);
	g_free(kernel);
}

/* Returns the main context that all of the process's work runs on. */
GMainContext *cb_kernel_context(const cb_kernel_t *kernel)
{
	return kernel->context;
}

/* Returns the clock that services take their time and timers from. */
cb_clock_t *cb_kernel_clock(const cb_kernel_t *kernel)
{
	return kernel->clock;
}

/* Returns the log; it may be NULL, which drops events. */
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
 * Adds a service under a name not taken before; the kernel takes it.
 * Services start in the order of their registration.
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

/* Starts every service; stops at the first that fails. */
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
 * Drains the services one after another, the last registered first, so
 * that a service may still use those that were there before it.
 */
static void drain_next_(cb_kernel_t *kernel)
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
	drain_next_(kernel);
}

/* Tells the kernel that a draining service has no work left. */
void cb_kernel_drained(cb_kernel_t *kernel, cb_service_t *service)
{
	unsigned int i;

	for (i = 0; i < kernel->registrations->len; i++) {
		registration_t *registration =
			g_ptr_array_index(kernel->registrations, i);

		if (registration->service == service)
			registration->is_drained = TRUE;
	}
	drain_next_(kernel);
}

/* Tells whether a graceful stop has come to its end. */
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

static gboolean signal_received_(void *user_data)
{
	cb_kernel_drain(user_data);
	return G_SOURCE_CONTINUE;
}

/* Has every service that can read its settings again. */
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

static gboolean reload_received_(void *user_data)
{
	cb_kernel_reload(user_data);
	return G_SOURCE_CONTINUE;
}

static GSource *signal_watch_(cb_kernel_t *kernel, int signal_number,
			      GSourceFunc received)
{
	GSource *source = g_unix_signal_source_new(signal_number);

	g_source_set_callback(source, received, kernel, NULL);
	g_source_attach(source, kernel->context);
	return source;
}

/*
 * Starts the services and runs the loop until SIGTERM or SIGINT has been
 * followed by a whole graceful stop.  SIGHUP has the settings read again.  Returns the process's exit code.
 */
int cb_kernel_run(cb_kernel_t *kernel)
{
	GSource *terminate = signal_watch_(kernel, SIGTERM, signal_received_);
	GSource *interrupt = signal_watch_(kernel, SIGINT, signal_received_);
	GSource *hang_up = signal_watch_(kernel, SIGHUP, reload_received_);
	GError *error = NULL;
	int exit_code = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
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
	return exit_code;
}
