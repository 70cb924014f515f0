#ifndef CURRANTBRIDGE_STORAGE_H
#define CURRANTBRIDGE_STORAGE_H

#include <glib.h>
#include <stdint.h>

/*
 * The durable storage of a replica's term, vote, log and snapshot.  Calls
 * complete in the order in which they were made, and the data of a call is
 * durable when the call completes.  After a failed write, that call and all
 * later ones complete with its error; a write that fails because the disk is
 * full is instead retried until there is space.  Calls that are pending when
 * the storage is destroyed complete with the error G_IO_ERROR_CANCELLED.
 */
typedef struct cb_storage cb_storage_t;

#define CB_STORAGE_ERROR (cb_storage_error_quark())
GQuark cb_storage_error_quark(void);

typedef enum cb_storage_error {
	CB_STORAGE_ERROR_IO,
	CB_STORAGE_ERROR_CORRUPT,
	CB_STORAGE_ERROR_LOCKED, /* another process uses the folder */
	/* No disk space or quota left; the call can be retried. */
	CB_STORAGE_ERROR_FULL,
} cb_storage_error_t;

/* One record of the replicated log. */
typedef struct cb_record {
	uint64_t index;
	uint64_t term;
	/* Kind of record, chosen by the caller; not UINT32_MAX. */
	uint32_t kind;
	GBytes *data;
} cb_record_t;

/* The election state that must be durable before a member sends a message. */
typedef struct cb_vote {
	uint64_t term;	 /* the current term */
	char *voted_for; /* disk ID of the candidate voted for in `term` */
	char *disk_id;	 /* random ID of this replica's storage */
} cb_vote_t;

/* The state of a replica after the record at `index`. */
typedef struct cb_snapshot {
	uint64_t index; /* 0: there is no snapshot */
	uint64_t term;	/* term of the record at `index` */
	GBytes *members;
	GBytes *data;
} cb_snapshot_t;

/* The data that a storage contained when it was opened. */
typedef struct cb_storage_content {
	gboolean is_blank; /* no vote has ever been stored */
	cb_vote_t vote;
	cb_snapshot_t snapshot;
	GPtrArray *records; /* cb_record_t *, in order of index */
} cb_storage_content_t;

/*
 * Called when a call of the storage has completed; `error` is NULL on success.
 */
typedef void (*cb_storage_done_fn_t)(const GError *error, void *user_data);

typedef struct cb_storage_vtable {
	/*
	 * Loads the stored data. An incomplete last write is removed; any other
	 * damage is an error.
	 */
	gboolean (*load)(cb_storage_t *storage, cb_storage_content_t *content,
			 GError **error);
	void (*save_vote)(cb_storage_t *storage, const cb_vote_t *vote,
			  cb_storage_done_fn_t done, void *user_data);
	/*
	 * Appends records, which replace the stored ones from the first new
	 * index on.
	 */
	void (*append)(cb_storage_t *storage, const cb_record_t *const *records,
		       size_t count, cb_storage_done_fn_t done,
		       void *user_data);
	/* Replaces the snapshot and drops the records that it covers. */
	void (*save_snapshot)(cb_storage_t *storage,
			      const cb_snapshot_t *snapshot,
			      cb_storage_done_fn_t done, void *user_data);
	void (*destroy)(cb_storage_t *storage);
} cb_storage_vtable_t;

struct cb_storage {
	const cb_storage_vtable_t *vtable;
};

cb_storage_t *cb_file_storage_new(const char *folder);
/* Returns the number of fsyncs that a file storage has made. */
uint64_t cb_file_storage_fsync_count(const cb_storage_t *storage);
void cb_storage_delete(cb_storage_t *storage);
void cb_storage_content_clear(cb_storage_content_t *content);

#endif
