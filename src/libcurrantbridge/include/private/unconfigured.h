#ifndef PRIVATE_UNCONFIGURED_H
#define PRIVATE_UNCONFIGURED_H

#include "currantbridge/fleet.h"

/*
 * Reports on servers that the configuration can't use, as it lacks their services, one
 * for each ID and service.  They are kept apart from the fleet, so that they change
 * nothing in it, until the configuration can use the server.
 */
typedef struct cb_unconfigured cb_unconfigured_t;

cb_unconfigured_t *cb_unconfigured_new(void);
void cb_unconfigured_delete(cb_unconfigured_t *reports);
unsigned int cb_unconfigured_count(const cb_unconfigured_t *reports);
void cb_unconfigured_put(cb_unconfigured_t *reports,
			 const cb_fleet_server_t *report, int64_t now_ms,
			 gboolean is_unsent_to_control);
gboolean cb_unconfigured_drain(cb_unconfigured_t *reports, const char *id,
			       const char *service, int64_t start_wall_ms);
void cb_unconfigured_expire(cb_unconfigured_t *reports, int64_t now_ms,
			    int64_t keep_ms);
GPtrArray *cb_unconfigured_take(cb_unconfigured_t *reports,
				cb_fleet_check_fn_t is_configured,
				void *user_data);

#endif
