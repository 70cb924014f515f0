#ifndef PRIVATE_ENGINE_REPORTS_H
#define PRIVATE_ENGINE_REPORTS_H

#include "currantbridge/clock.h"
#include "currantbridge/engine_orders.h"

/*
 * Requests reports from engines for the streams of an entry instance.  When an
 * engine is lost, many streams fall silent at the same moment: requests for a
 * report of the same engine share one call.
 */
typedef struct cb_engine_reports cb_engine_reports_t;

cb_engine_reports_t *cb_engine_reports_new(cb_clock_t *clock,
					   cb_engine_orders_t *orders);
void cb_engine_reports_delete(cb_engine_reports_t *reports);
/*
 * Requests a report from the engine at `address`.  `fn` is called once, after
 * this function has returned, unless cb_engine_reports_cancel() is called.
 */
void cb_engine_reports_request(cb_engine_reports_t *reports,
			       const char *address, cb_report_done_fn_t fn,
			       void *user_data);
/*
 * How long an engine that has ended refuses calls before that is proved: one with too
 * many connections refuses some of them only.
 */
#define CB_REFUSAL_PROOF_MS 50
/*
 * Records that an event has come through the engine at `address`: it runs, whatever
 * calls it refuses.
 */
void cb_engine_reports_hear(cb_engine_reports_t *reports, const char *address);
/*
 * Whether all calls of the engine at `address` were refused, of which there were
 * some in the last second over CB_REFUSAL_PROOF_MS or longer, and nothing was heard
 * of it meanwhile: its process has ended.
 */
gboolean cb_engine_reports_has_ended(const cb_engine_reports_t *reports,
				     const char *address);
/* Whether a call refused by the engine now would show more than the last did. */
gboolean cb_engine_reports_is_check_due(const cb_engine_reports_t *reports,
					const char *address);
/* Drops the requests of `user_data`, if any, without calling their functions. */
void cb_engine_reports_cancel(cb_engine_reports_t *reports,
			      const void *user_data);

#endif
