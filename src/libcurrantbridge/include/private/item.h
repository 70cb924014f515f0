#ifndef PRIVATE_ITEM_H
#define PRIVATE_ITEM_H

#include "currantbridge/view.h"
#include "private/pack.h"

/* The kinds of configuration items; a name is unique within its kind. */
typedef enum cb_item_kind {
	CB_ITEM_CONTRACT,   /* named by the contract's workspace */
	CB_ITEM_STOP,	    /* planned stop, named "KIND/NAME" */
	CB_ITEM_INSTANCE,   /* entry instance, named by its own name */
	CB_ITEM_QUARANTINE, /* named by the request digest */
	CB_ITEM_SERVER,	    /* backend server, named by its own name */
	CB_ITEM_DOCUMENT,   /* the only one is CB_DOCUMENT_ITEM_NAME */
	CB_ITEM_KIND_COUNT
} cb_item_kind_t;

#define CB_DOCUMENT_ITEM_NAME "document"

/* A request digest that is in quarantine, or suspected of crashing servers. */
typedef struct cb_quarantine {
	char *digest;
	int64_t until_wall_ms; /* end of the quarantine; 0: only suspect */
	/*
	 * The servers that died while running a request with this digest, as
	 * "SERVER REPORTER".
	 */
	char **deaths;
	/* End of the period in which `deaths` count. */
	int64_t suspect_until_wall_ms;
	uint64_t revision;
} cb_quarantine_t;

/* A configuration item; `value` is NULL if it was removed. */
typedef struct cb_item {
	cb_item_kind_t kind;
	char *name;
	uint64_t revision;
	void *value; /* value of the item, of a type that depends on `kind` */
} cb_item_t;

char *cb_stop_item_name(cb_stop_kind_t kind, const char *name);

void cb_item_value_delete(cb_item_kind_t kind, void *value);
void cb_item_clear(cb_item_t *item);
void cb_item_pack(cb_pack_t *pack, const cb_item_t *item);
gboolean cb_item_read(const msgpack_object *object, cb_item_t *item);

/* Functions with which the state looks up and changes the items in its view. */
const void *cb_view_find_item(const cb_view_t *view, cb_item_kind_t kind,
			      const char *name);
void cb_view_put_item(cb_view_t *view, cb_item_kind_t kind, void *value);
void cb_view_remove_item(cb_view_t *view, cb_item_kind_t kind,
			 const char *name);
void cb_view_set_revision(cb_view_t *view, uint64_t revision);
void cb_view_clear(cb_view_t *view);

/* Updates and snapshots begin with a hash of the rest, to detect damage. */
GBytes *cb_update_add_hash(GBytes *body);
GBytes *cb_update_check_hash(GBytes *update);

#endif
