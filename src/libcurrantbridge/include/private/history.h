#ifndef PRIVATE_HISTORY_H
#define PRIVATE_HISTORY_H

#include "private/item.h"

/*
 * The revision at which each configuration item last changed, in order of
 * revision.  A removed item leaves a tombstone.  Beyond a maximum number the
 * oldest tombstones are dropped; updates from a revision before them must then
 * contain the whole configuration, unless they are of servers' records, which no
 * update contains.
 */
typedef struct cb_change_history cb_change_history_t;

/* The last change of one item. */
typedef struct cb_change_history_entry {
	cb_item_kind_t kind;
	const char *name;
	uint64_t revision;
	gboolean is_removed;
} cb_change_history_entry_t;

/* What cb_change_history_pack_since() packs beside the present items. */
typedef enum cb_change_filter {
	CB_CHANGES_REMOVED = 1 << 0, /* removed items */
	/* Records of backend servers, which entry instances are not sent. */
	CB_CHANGES_SERVERS = 1 << 1,
} cb_change_filter_t;

cb_change_history_t *cb_change_history_new(unsigned int max_tombstones);
void cb_change_history_delete(cb_change_history_t *history);
void cb_change_history_record(cb_change_history_t *history,
			      const cb_change_history_entry_t *change);
uint64_t cb_change_history_floor(const cb_change_history_t *history);
void cb_change_history_set_floor(cb_change_history_t *history, uint64_t floor);
uint64_t cb_change_history_entry_revision(const cb_change_history_t *history);
unsigned int cb_change_history_pack_since(const cb_change_history_t *history,
					  uint64_t since, const cb_view_t *view,
					  unsigned int filter, cb_pack_t *pack);

#endif
