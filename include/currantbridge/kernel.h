#ifndef CURRANTBRIDGE_KERNEL_H
#define CURRANTBRIDGE_KERNEL_H

#include <glib.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/log.h"

/*
 * The kernel of a process: a main loop on one thread, a clock, a log, counters,
 * and the services of the process, which find each other by name.
 */
typedef struct cb_kernel cb_kernel_t;
typedef struct cb_service cb_service_t;

typedef struct cb_service_vtable {
	/*
	 * Starts the service; on failure sets the error and returns FALSE.  May
	 * be NULL.
	 */
	gboolean (*start)(cb_service_t *service, GError **error);
	/*
	 * Begins a graceful stop.  The service calls
	 * cb_kernel_service_drained() once, now or later, when it has finished
	 * its work.  May be NULL.
	 */
	void (*drain)(cb_service_t *service);
	/*
	 * Reads the settings of the service again.  The callback may be NULL.
	 */
	void (*reload)(cb_service_t *service);
	/* Deletes the service.  Called in reverse order of registration. */
	void (*destroy)(cb_service_t *service);
} cb_service_vtable_t;

/* The first member of every service. */
struct cb_service {
	const cb_service_vtable_t *vtable;
};

cb_kernel_t *cb_kernel_new(GMainContext *context, cb_clock_t *clock,
			   cb_log_t *log);
void cb_kernel_delete(cb_kernel_t *kernel);

GMainContext *cb_kernel_context(const cb_kernel_t *kernel);
cb_clock_t *cb_kernel_clock(const cb_kernel_t *kernel);
cb_log_t *cb_kernel_log(const cb_kernel_t *kernel);
cb_counters_t *cb_kernel_counters(const cb_kernel_t *kernel);

void cb_kernel_register(cb_kernel_t *kernel, const char *name,
			cb_service_t *service);
cb_service_t *cb_kernel_find(const cb_kernel_t *kernel, const char *name);

gboolean cb_kernel_start(cb_kernel_t *kernel, GError **error);
void cb_kernel_reload(cb_kernel_t *kernel);
void cb_kernel_drain(cb_kernel_t *kernel);
void cb_kernel_service_drained(cb_kernel_t *kernel, cb_service_t *service);
gboolean cb_kernel_is_drained(const cb_kernel_t *kernel);
int cb_kernel_run(cb_kernel_t *kernel);

#endif
