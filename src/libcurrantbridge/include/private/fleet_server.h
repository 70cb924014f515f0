#ifndef PRIVATE_FLEET_SERVER_H
#define PRIVATE_FLEET_SERVER_H

#include "currantbridge/fleet.h"

/* The record of one backend server, for the modules that keep such records. */

void cb_fleet_server_copy(cb_fleet_server_t *to, const cb_fleet_server_t *from);
void cb_fleet_server_clear(cb_fleet_server_t *server);
void cb_fleet_server_delete(void *server);
gboolean cb_fleet_report_is_newer(const cb_fleet_server_t *report,
				  const cb_fleet_server_t *known);
gboolean cb_fleet_process_is_same(const cb_fleet_server_t *a,
				  const cb_fleet_server_t *b);
cb_fleet_state_t cb_fleet_state_merge(const cb_fleet_server_t *known,
				      const cb_fleet_server_t *report);

#endif
