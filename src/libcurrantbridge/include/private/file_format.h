#ifndef CURRANTBRIDGE_PRIVATE_FILE_FORMAT_H
#define CURRANTBRIDGE_PRIVATE_FILE_FORMAT_H

#include "currantbridge/storage.h"

/*
 * The files of a replica's data folder.  All numbers are little-endian.
 *
 * log: the magic text, then records.  A record is a header (magic, kind of
 * record, length of data, offset of its batch, index, term, digest of the
 * header), its data, and a digest of both.  The records of one batch were
 * made durable by one fsync, so a record whose batch begins after an offset
 * proves that the bytes at that offset were durable before.
 *
 * snapshot: the magic text, a header with its digest, the members, the
 * data, and a digest of both.
 */
#define CB_LOG_MAGIC "cblog01\n"
#define CB_SNAPSHOT_MAGIC "cbsnap1\n"
#define CB_FILE_MAGIC_BYTES 8

/* The kind of a record that stores term, voted_for and disk_id. */
#define CB_FILE_KIND_VOTE UINT32_MAX

/* One record of a log file; `data` points into the bytes of the file. */
typedef struct cb_file_record {
	uint32_t kind;
	uint64_t index;
	uint64_t term;
	const char *data;
	uint32_t size;
} cb_file_record_t;

/*
 * Called for each record in order; returns FALSE and sets `reason` when the
 * record cannot follow the previous one.
 */
typedef gboolean (*cb_file_record_fn_t)(const cb_file_record_t *record,
					const char **reason, void *user_data);

void cb_file_record_encode(GByteArray *out, uint64_t batch_offset,
			   const cb_file_record_t *record);
gboolean cb_file_log_scan(const char *path, const char *data, size_t size,
			  cb_file_record_fn_t record_fn, void *user_data,
			  size_t *valid_size, GError **error);

GBytes *cb_file_snapshot_encode(const cb_snapshot_t *snapshot);
gboolean cb_file_snapshot_decode(const char *path, const char *data,
				 size_t size, cb_snapshot_t *snapshot,
				 GError **error);

#endif
