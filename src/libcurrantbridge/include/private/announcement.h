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
	/* streams or calls that the server can run at once */
	int64_t capacity;
	int64_t running;     /* number of requests that the server is running */
	int64_t queued;	     /* number of requests that wait at the server */
	GPtrArray *ranges;   /* layer ranges held: array of cb_layer_range_t */
	GPtrArray *services; /* names of the services: array of char * */
} cb_announcement_t;

cb_announcement_t *cb_announcement_parse(const char *text, GError **error);
void cb_announcement_delete(cb_announcement_t *announcement);

#endif
