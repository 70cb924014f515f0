#ifndef PRIVATE_ANNOUNCEMENT_H
#define PRIVATE_ANNOUNCEMENT_H

#include "currantbridge/server.h"

/* The validated fields of a backend server's announcement. */
typedef struct cb_announcement {
	char *name;
	char *address;
	char *data_centre;
	cb_server_kind_t kind;
	gboolean is_leaving;
	uint64_t incarnation;
	gboolean checks_fencing;
	int64_t capacity;    /* streams or calls that it can run at once */
	int64_t running;     /* requests */
	int64_t queued;	     /* requests */
	GPtrArray *ranges;   /* of cb_layer_range_t */
	GPtrArray *services; /* of char * */
} cb_announcement_t;

cb_announcement_t *cb_announcement_parse(const char *text, GError **error);
void cb_announcement_delete(cb_announcement_t *announcement);

#endif
