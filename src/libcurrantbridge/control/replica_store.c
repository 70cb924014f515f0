#include "private/replica.h"

typedef enum operation_kind {
	OPERATION_VOTE,
	OPERATION_RECORDS,
	OPERATION_SNAPSHOT
} operation_kind_t;

/* One call of the storage that has not completed yet. */
typedef struct operation {
	cb_replica_t *replica; /* NULL once the replica is deleted */
	operation_kind_t kind;
	/* In OPERATION_RECORDS, the index of the last record. */
	uint64_t last_index;
} operation_t;

static operation_t *operation_add_(cb_replica_t *replica, operation_kind_t kind)
{
	operation_t *operation = g_new0(operation_t, 1);

	operation->replica = replica;
	operation->kind = kind;
	g_queue_push_tail(&replica->operations, operation);
	return operation;
}

/* Sends the queued messages unless a vote is still being saved. */
static void outbox_flush_(cb_replica_t *replica)
{
	cb_outgoing_t *outgoing;

	while (!replica->vote_saves &&
	       (outgoing = g_queue_pop_head(&replica->outbox))) {
		replica->transport->vtable->send(replica->transport,
						 outgoing->to,
						 outgoing->address,
						 outgoing->bytes);
		cb_outgoing_delete(outgoing);
	}
}

/*
 * Called when a storage operation has completed: handles what is now durable.
 */
static void operation_complete_(const GError *error, void *user_data)
{
	operation_t *operation = user_data;
	cb_replica_t *replica = operation->replica;
	operation_kind_t kind = operation->kind;
	uint64_t last_index = operation->last_index;

	if (replica)
		g_queue_remove(&replica->operations, operation);
	g_free(operation);
	if (!replica || replica->is_failed)
		return;
	if (error) {
		cb_replica_fail(replica, error);
		return;
	}
	switch (kind) {
	case OPERATION_VOTE:
		replica->vote_saves--;
		outbox_flush_(replica);
		if (!replica->vote_saves)
			cb_election_vote_saved(replica);
		break;
	case OPERATION_RECORDS:
		replica->durable = MAX(replica->durable, last_index);
		if (cb_replica_leads(replica))
			cb_replication_advance(replica);
		else
			cb_append_stored(replica);
		break;
	case OPERATION_SNAPSHOT:
		cb_snapshot_stored(replica);
		break;
	}
}

/* Saves term, vote and disk_id; messages are queued until they are durable. */
void cb_replica_save_vote(cb_replica_t *replica)
{
	cb_vote_t vote = { .term = replica->term,
			   .voted_for = replica->voted_for,
			   .disk_id = replica->disk_id };
	operation_t *operation = operation_add_(replica, OPERATION_VOTE);

	replica->vote_saves++;
	replica->storage->vtable->save_vote(replica->storage, &vote,
					    operation_complete_, operation);
}

/* Passes to the storage all records of the log that it does not have yet. */
void cb_replica_store_records(cb_replica_t *replica)
{
	uint64_t last_index = cb_replica_log_last_index(replica->log);
	operation_t *operation;
	GPtrArray *records;
	uint64_t index;

	if (replica->submitted_index >= last_index)
		return;
	records = g_ptr_array_new();
	for (index = replica->submitted_index + 1; index <= last_index; index++)
		g_ptr_array_add(records,
				(void *)cb_replica_log_get(replica->log,
							   index));
	replica->submitted_index = last_index;
	operation = operation_add_(replica, OPERATION_RECORDS);
	operation->last_index = last_index;
	replica->storage->vtable->append(
		replica->storage, (const cb_record_t *const *)records->pdata,
		records->len, operation_complete_, operation);
	g_ptr_array_unref(records);
}

/* Saves the snapshot `replica->snapshot` in the storage. */
void cb_replica_store_snapshot(cb_replica_t *replica)
{
	operation_t *operation = operation_add_(replica, OPERATION_SNAPSHOT);

	replica->is_saving_snapshot = TRUE;
	replica->storage->vtable->save_snapshot(replica->storage,
						&replica->snapshot,
						operation_complete_, operation);
}

/* Drops the records from index `from` on, which a new leader replaces. */
void cb_replica_truncate(cb_replica_t *replica, uint64_t from)
{
	GList *link;

	g_assert(from > replica->committed);
	for (link = replica->operations.head; link; link = link->next) {
		operation_t *operation = link->data;

		operation->last_index = MIN(operation->last_index, from - 1);
	}
	cb_replica_log_truncate(replica->log, from);
	replica->submitted_index = MIN(replica->submitted_index, from - 1);
	replica->durable = MIN(replica->durable, from - 1);
	if (replica->members_index >= from)
		cb_membership_adopt(replica);
}

/* Makes all pending storage operations complete without an effect. */
void cb_replica_detach_operations(cb_replica_t *replica)
{
	operation_t *operation;

	while ((operation = g_queue_pop_head(&replica->operations)))
		operation->replica = NULL;
}
