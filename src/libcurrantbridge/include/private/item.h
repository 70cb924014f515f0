#ifndef PRIVATE_ITEM_H
#define PRIVATE_ITEM_H

#include "currantbridge/view.h"
#include "private/pack.h"

/* The items of the replicated configuration, each named within its kind. */
typedef enum cb_item_kind {
	CB_ITEM_CONTRACT,   /* named by its workspace */
	CB_ITEM_STOP,	    /* named "KIND/NAME" */
	CB_ITEM_INSTANCE,   /* named by the instance */
	CB_ITEM_QUARANTINE, /* named by the digest */
	CB_ITEM_SERVER,	    /* named by the backend server */
	CB_ITEM_DOCUMENT,   /* there is one, CB_DOCUMENT_ITEM_NAME */
	CB_ITEM_KIND_COUNT
} cb_item_kind_t;

#define CB_DOCUMENT_ITEM_NAME "document"

typedef struct cb_quarantine {
	char *digest;
	int64_t until_wall_ms; /* 0: only suspect */
	/*
	 * The servers that died under it, each "SERVER REPORTER", and until
	 * when they are held against it.
	 */
	char **deaths;
	int64_t suspect_until_wall_ms;
	uint64_t revision;
} cb_quarantine_t;

/* One decoded item; `value` is NULL for an item that was removed. */
typedef struct cb_item {
	cb_item_kind_t kind;
	char *name;
	uint64_t revision;
	void *value;
} cb_item_t;

char *cb_stop_item_name(cb_stop_kind_t kind, const char *name);

void cb_item_value_delete(cb_item_kind_t kind, void *value);
void cb_item_clear(cb_item_t *item);
void cb_item_pack(cb_pack_t *pack, const cb_item_t *item);
gboolean cb_item_read(const msgpack_object *object, cb_item_t *item);

/* How the state changes a view that it owns. */
const void *cb_view_find_item(const cb_view_t *view, cb_item_kind_t kind,
			      const char *name);
void cb_view_put_item(cb_view_t *view, cb_item_kind_t kind, void *value);
void cb_view_remove_item(cb_view_t *view, cb_item_kind_t kind,
			 const char *name);
void cb_view_set_revision(cb_view_t *view, uint64_t revision);
void cb_view_clear(cb_view_t *view);

/* An update begins with a hash of the rest, so that damage is refused. */
GBytes *cb_update_seal(GBytes *body);
GBytes *cb_update_unseal(GBytes *update);

#endif
