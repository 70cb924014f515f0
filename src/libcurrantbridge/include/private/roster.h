#ifndef PRIVATE_ROSTER_H
#define PRIVATE_ROSTER_H

#include <glib.h>
#include <stdint.h>

#include "private/link_message.h"

/*
 * The leader's table of the sessions of all entry instances, from its own
 * sessions and from the reports of other control instances.  It does no I/O.
 */
typedef struct cb_roster cb_roster_t;

typedef struct cb_roster_entry {
	char *name;    /* name of the entry instance */
	char *control; /* the control instance that it is connected to */
	uint64_t incarnation;
	uint64_t revision; /* revision in force at the entry instance */
	/* Time of the entry instance's last message, in clock ms. */
	int64_t last_received_ms;
} cb_roster_entry_t;

cb_roster_t *cb_roster_new(void);
void cb_roster_delete(cb_roster_t *roster);
void cb_roster_report(cb_roster_t *roster, const char *control,
		      const cb_session_report_t *report, int64_t now_ms);
void cb_roster_remove_expired(cb_roster_t *roster, int64_t before_ms);
const cb_roster_entry_t *cb_roster_find(const cb_roster_t *roster,
					const char *name);
GPtrArray *cb_roster_list_reports(const cb_roster_t *roster, int64_t now_ms);

#endif
