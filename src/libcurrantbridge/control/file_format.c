#include "private/file_format.h"

#include <string.h>
#include <xxhash.h>

#define RECORD_MAGIC 0x31524243u /* "CBR1", little-endian */
#define DIGEST_BYTES 8
#define SECTOR_BYTES 512

typedef struct record_header {
	uint32_t magic;
	uint32_t kind;
	uint32_t size;
	uint32_t reserved;
	uint64_t batch_offset;
	uint64_t index;
	uint64_t term;
	uint64_t digest; /* digest of the header fields above */
} record_header_t;

typedef struct snapshot_header {
	char magic[CB_FILE_MAGIC_BYTES];
	uint64_t index;
	uint64_t term;
	uint64_t members_size;
	uint64_t data_size;
	uint64_t digest; /* digest of the header fields above */
} snapshot_header_t;

G_STATIC_ASSERT(sizeof(record_header_t) == 48);
G_STATIC_ASSERT(sizeof(snapshot_header_t) == 48);
G_STATIC_ASSERT(G_BYTE_ORDER == G_LITTLE_ENDIAN);

/* Sets `error` and returns FALSE. */
static gboolean corrupt_error_set_(GError **error, const char *path,
				   uint64_t offset, const char *reason)
{
	g_set_error(error, CB_STORAGE_ERROR, CB_STORAGE_ERROR_CORRUPT,
		    "%s: offset %" G_GUINT64_FORMAT ": %s", path, offset,
		    reason);
	return FALSE;
}

/*
 * Appends one record to `out`.  `batch_offset` is the file offset at which
 * the first byte of the record's batch is written.
 */
void cb_file_record_encode(GByteArray *out, uint64_t batch_offset,
			   const cb_file_record_t *record)
{
	record_header_t header = {
		.magic = RECORD_MAGIC,
		.kind = record->kind,
		.size = record->size,
		.batch_offset = batch_offset,
		.index = record->index,
		.term = record->term,
	};
	uint64_t digest;

	header.digest = XXH3_64bits(&header, offsetof(record_header_t, digest));
	digest =
		XXH3_64bits_withSeed(record->data, record->size, header.digest);
	g_byte_array_append(out, (const uint8_t *)&header, sizeof(header));
	g_byte_array_append(out, (const uint8_t *)record->data, record->size);
	g_byte_array_append(out, (const uint8_t *)&digest, DIGEST_BYTES);
}

/*
 * Parses the record header at `offset`; FALSE when it is incomplete or damaged.
 */
static gboolean header_parse_(const char *data, size_t size, size_t offset,
			      record_header_t *header)
{
	if (size - offset < sizeof(*header))
		return FALSE;
	memcpy(header, data + offset, sizeof(*header));
	return header->magic == RECORD_MAGIC &&
	       header->digest ==
		       XXH3_64bits(header, offsetof(record_header_t, digest));
}

static size_t record_encoded_size_(const record_header_t *header)
{
	return sizeof(*header) + header->size + DIGEST_BYTES;
}

/* Whether a later batch proves that the data at `offset` was durable. */
static gboolean offset_was_durable_(const char *data, size_t size,
				    size_t offset)
{
	record_header_t header;
	size_t i;

	for (i = offset + 1; i + sizeof(header) <= size; i++) {
		const char *found = memchr(data + i, (char)RECORD_MAGIC,
					   size - sizeof(header) - i + 1);

		if (!found)
			return FALSE;
		i = found - data;
		if (header_parse_(data, size, i, &header) &&
		    header.batch_offset > offset)
			return TRUE;
	}
	return FALSE;
}

/* Whether the data from `offset` on has a sector that is all zero. */
static gboolean has_unwritten_sector_(const char *data, size_t size,
				      size_t offset)
{
	while (offset < size) {
		size_t end = (offset / SECTOR_BYTES + 1) * SECTOR_BYTES;
		size_t i = offset;

		end = MIN(end, size);
		while (i < end && !data[i])
			i++;
		if (i == end)
			return TRUE;
		offset = end;
	}
	return FALSE;
}

/*
 * Whether the invalid data at `offset` was left by a write that a crash
 * interrupted, and is not damage to a record that was durable.
 */
static gboolean is_incomplete_write_(const char *data, size_t size,
				     size_t offset)
{
	record_header_t header;

	if (offset_was_durable_(data, size, offset))
		return FALSE;
	if (size - offset < sizeof(header))
		return TRUE;
	if (header_parse_(data, size, offset, &header) &&
	    record_encoded_size_(&header) > size - offset)
		return TRUE;
	return has_unwritten_sector_(data, size, offset);
}

/* Parses the record at `offset`; returns its size, or 0 when it is damaged. */
static size_t record_parse_(const char *data, size_t size, size_t offset,
			    cb_file_record_t *record)
{
	record_header_t header;
	uint64_t digest;

	if (!header_parse_(data, size, offset, &header) ||
	    record_encoded_size_(&header) > size - offset)
		return 0;
	record->kind = header.kind;
	record->index = header.index;
	record->term = header.term;
	record->data = data + offset + sizeof(header);
	record->size = header.size;
	memcpy(&digest, record->data + record->size, DIGEST_BYTES);
	if (digest !=
	    XXH3_64bits_withSeed(record->data, record->size, header.digest))
		return 0;
	return record_encoded_size_(&header);
}

/*
 * Reads the records of a log in order.  Sets `valid_size` to the offset at
 * which the last complete record ends; an incomplete write may follow it.
 * Any other damage is an error that names file, offset and reason.
 */
gboolean cb_file_log_scan(const char *path, const char *data, size_t size,
			  cb_file_record_fn_t record_fn, void *user_data,
			  size_t *valid_size, GError **error)
{
	size_t offset = CB_FILE_MAGIC_BYTES;
	cb_file_record_t record;
	const char *reason;

	*valid_size = 0;
	if (size < CB_FILE_MAGIC_BYTES)
		return TRUE;
	if (memcmp(data, CB_LOG_MAGIC, CB_FILE_MAGIC_BYTES))
		return corrupt_error_set_(error, path, 0,
					  "not a log of this program");
	while (offset < size) {
		size_t length = record_parse_(data, size, offset, &record);

		if (!length && is_incomplete_write_(data, size, offset))
			break;
		if (!length)
			return corrupt_error_set_(error, path, offset,
						  "the record is damaged");
		if (!record_fn(&record, &reason, user_data))
			return corrupt_error_set_(error, path, offset, reason);
		offset += length;
	}
	*valid_size = offset;
	return TRUE;
}

/* Encodes a whole snapshot file. */
GBytes *cb_file_snapshot_encode(const cb_snapshot_t *snapshot)
{
	GByteArray *out = g_byte_array_new();
	snapshot_header_t header = {
		.magic = CB_SNAPSHOT_MAGIC,
		.index = snapshot->index,
		.term = snapshot->term,
		.members_size = g_bytes_get_size(snapshot->members),
		.data_size = g_bytes_get_size(snapshot->data),
	};
	uint64_t digest;

	header.digest =
		XXH3_64bits(&header, offsetof(snapshot_header_t, digest));
	g_byte_array_append(out, (const uint8_t *)&header, sizeof(header));
	g_byte_array_append(out, g_bytes_get_data(snapshot->members, NULL),
			    header.members_size);
	g_byte_array_append(out, g_bytes_get_data(snapshot->data, NULL),
			    header.data_size);
	digest = XXH3_64bits(out->data, out->len);
	g_byte_array_append(out, (const uint8_t *)&digest, DIGEST_BYTES);
	return g_byte_array_free_to_bytes(out);
}

/* Decodes a snapshot file; the error names file, offset and reason. */
gboolean cb_file_snapshot_decode(const char *path, const char *data,
				 size_t size, cb_snapshot_t *snapshot,
				 GError **error)
{
	snapshot_header_t header;
	uint64_t digest;
	size_t payload_size;

	if (size < sizeof(header) + DIGEST_BYTES)
		return corrupt_error_set_(error, path, size,
					  "the file is too short");
	memcpy(&header, data, sizeof(header));
	if (memcmp(header.magic, CB_SNAPSHOT_MAGIC, CB_FILE_MAGIC_BYTES))
		return corrupt_error_set_(error, path, 0,
					  "not a snapshot of this program");
	if (header.digest !=
	    XXH3_64bits(&header, offsetof(snapshot_header_t, digest)))
		return corrupt_error_set_(error, path, 0,
					  "the header is damaged");
	payload_size = size - sizeof(header) - DIGEST_BYTES;
	if (header.members_size > payload_size ||
	    header.data_size != payload_size - header.members_size)
		return corrupt_error_set_(
			error, path, size,
			"the file size does not match the header");
	memcpy(&digest, data + size - DIGEST_BYTES, DIGEST_BYTES);
	if (digest != XXH3_64bits(data, size - DIGEST_BYTES))
		return corrupt_error_set_(error, path, sizeof(header),
					  "the data is damaged");
	data += sizeof(header);
	snapshot->index = header.index;
	snapshot->term = header.term;
	snapshot->members = g_bytes_new(data, header.members_size);
	snapshot->data =
		g_bytes_new(data + header.members_size, header.data_size);
	return TRUE;
}
