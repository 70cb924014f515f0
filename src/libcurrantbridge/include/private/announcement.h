#ifndef PRIVATE_ANNOUNCEMENT_H
#define PRIVATE_ANNOUNCEMENT_H

#include "currantbridge/server.h"

/* What a backend server says of itself, checked and typed. */
typedef struct cb_announcement {
	char *name;
	char *address;
	char *data_centre;
	cb_server_kind_t kind;
	gboolean is_leaving;
	uint64_t incarnation;
	gboolean checks_fencing;
	int64_t capacity;
	int64_t running;
	int64_t queued;
	GPtrArray *ranges;   /* of cb_layer_range_t */
	GPtrArray *services; /* of char * */
} cb_announcement_t;

cb_announcement_t *cb_announcement_parse(const char *text, GError **error);
void cb_announcement_delete(cb_announcement_t *announcement);

#endif
