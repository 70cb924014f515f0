#include "private/replica_log.h"

#include "private/replica_message.h"

/* Size counted for a record in addition to its data. */
#define RECORD_OVERHEAD_BYTES 48

typedef struct log_entry {
	cb_record_t *record;
	/*
	 * Size in bytes of all records up to this one since the log was last
	 * reset.
	 */
	uint64_t end_bytes;
} log_entry_t;

struct cb_replica_log {
	/* The last record that was dropped: its index, term and end_bytes. */
	uint64_t base_index;
	uint64_t base_term;
	uint64_t base_bytes;
	GArray *entries; /* log_entry_t */
};

static void entry_clear_(void *data)
{
	cb_record_delete(((log_entry_t *)data)->record);
}

/* Creates a log that begins after `base_index`. */
cb_replica_log_t *cb_replica_log_new(uint64_t base_index, uint64_t base_term)
{
	cb_replica_log_t *log = g_new0(cb_replica_log_t, 1);

	log->base_index = base_index;
	log->base_term = base_term;
	log->entries = g_array_new(FALSE, FALSE, sizeof(log_entry_t));
	g_array_set_clear_func(log->entries, entry_clear_);
	return log;
}

/* Deletes a log; NULL is allowed. */
void cb_replica_log_delete(cb_replica_log_t *log)
{
	if (!log)
		return;
	g_array_unref(log->entries);
	g_free(log);
}

/* Returns the index of the first kept record, or of the next one if empty. */
uint64_t cb_replica_log_first_index(const cb_replica_log_t *log)
{
	return log->base_index + 1;
}

/* Returns the index of the last record, or the base index if empty. */
uint64_t cb_replica_log_last_index(const cb_replica_log_t *log)
{
	return log->base_index + log->entries->len;
}

/* Returns the term of the last record, or the base term if empty. */
uint64_t cb_replica_log_last_term(const cb_replica_log_t *log)
{
	uint64_t term = log->base_term;

	cb_replica_log_term(log, cb_replica_log_last_index(log), &term);
	return term;
}

static const log_entry_t *entry_get_(const cb_replica_log_t *log,
				     uint64_t index)
{
	if (index <= log->base_index || index > cb_replica_log_last_index(log))
		return NULL;
	return &g_array_index(log->entries, log_entry_t,
			      index - log->base_index - 1);
}

/* Sets `term` to the term at `index`; FALSE when that is not in the log. */
gboolean cb_replica_log_term(const cb_replica_log_t *log, uint64_t index,
			     uint64_t *term)
{
	const log_entry_t *entry = entry_get_(log, index);

	if (!entry && index != log->base_index)
		return FALSE;
	*term = entry ? entry->record->term : log->base_term;
	return TRUE;
}

/* Returns the record at `index`, or NULL when it is not in the log. */
const cb_record_t *cb_replica_log_get(const cb_replica_log_t *log,
				      uint64_t index)
{
	const log_entry_t *entry = entry_get_(log, index);

	return entry ? entry->record : NULL;
}

/* Returns the size of all records up to `index`, since the last reset. */
static uint64_t entry_end_bytes_(const cb_replica_log_t *log, uint64_t index)
{
	const log_entry_t *entry = entry_get_(log, index);

	return entry ? entry->end_bytes : log->base_bytes;
}

/* Returns the size in bytes of the records in (after_index, last_index]. */
uint64_t cb_replica_log_bytes(const cb_replica_log_t *log, uint64_t after_index,
			      uint64_t last_index)
{
	if (after_index >= last_index)
		return 0;
	return entry_end_bytes_(log, last_index) -
	       entry_end_bytes_(log, after_index);
}

/* Appends `record`, which must follow the last one; takes ownership. */
void cb_replica_log_append(cb_replica_log_t *log, cb_record_t *record)
{
	uint64_t last = cb_replica_log_last_index(log);
	log_entry_t entry = { .record = record };

	g_assert(record->index == last + 1);
	entry.end_bytes = entry_end_bytes_(log, last) +
			  g_bytes_get_size(record->data) +
			  RECORD_OVERHEAD_BYTES;
	g_array_append_val(log->entries, entry);
}

/* Drops the records from `from_index` on. */
void cb_replica_log_truncate(cb_replica_log_t *log, uint64_t from_index)
{
	g_assert(from_index > log->base_index);
	if (from_index <= cb_replica_log_last_index(log))
		g_array_set_size(log->entries,
				 from_index - log->base_index - 1);
}

/* Drops the records up to and including `through_index`. */
void cb_replica_log_compact(cb_replica_log_t *log, uint64_t through_index)
{
	const log_entry_t *entry = entry_get_(log, through_index);
	uint64_t count = through_index - log->base_index;

	if (!entry)
		return;
	log->base_term = entry->record->term;
	log->base_bytes = entry->end_bytes;
	log->base_index = through_index;
	g_array_remove_range(log->entries, 0, count);
}

/* Empties the log, so that the next record is the one after `base_index`. */
void cb_replica_log_reset(cb_replica_log_t *log, uint64_t base_index,
			  uint64_t base_term)
{
	g_array_set_size(log->entries, 0);
	log->base_index = base_index;
	log->base_term = base_term;
	log->base_bytes = 0;
}
