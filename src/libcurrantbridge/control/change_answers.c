#include "private/change_answers.h"

#include <xxhash.h>

#include "currantbridge/state.h"

/* Must be above 1, so that all expired entries are removed over time. */
#define MAX_REMOVALS_PER_RECORD 4

typedef struct change {
	GList link;
	char *id;
	uint64_t content_hash; /* hash of the command without `wall_ms` */
	int64_t at_ms;	       /* state time at which the change was applied */
	GBytes *answer;	       /* the encoded first answer */
} change_t;

struct cb_change_answers {
	GHashTable *by_id; /* change ID to change_t */
	GQueue order;	   /* change_t *, by time, the oldest first */
};

static void change_free_(void *data)
{
	change_t *change = data;

	g_free(change->id);
	g_clear_pointer(&change->answer, g_bytes_unref);
	g_free(change);
}

/* Returns a new empty table of answers to changes. */
cb_change_answers_t *cb_change_answers_new(void)
{
	cb_change_answers_t *changes = g_new0(cb_change_answers_t, 1);

	changes->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       change_free_);
	g_queue_init(&changes->order);
	return changes;
}

/* Frees a table of answers; NULL is allowed. */
void cb_change_answers_delete(cb_change_answers_t *changes)
{
	if (!changes)
		return;
	g_hash_table_unref(changes->by_id);
	g_free(changes);
}

/* Hashes a command without the leader's time, which differs in a resend. */
static uint64_t command_hash_(const cb_command_t *command)
{
	cb_command_t untimed = *command;
	GBytes *bytes;
	uint64_t hash;
	gsize size;
	const void *data;

	untimed.wall_ms = 0;
	bytes = cb_command_encode(&untimed);
	data = g_bytes_get_data(bytes, &size);
	hash = XXH3_64bits(data, size);
	g_bytes_unref(bytes);
	return hash;
}

/*
 * Returns the first answer to the command's change ID, which the caller
 * deletes, or NULL if the ID is new.  The answer is INVALID if the ID was
 * used for a different change before.
 */
cb_answer_t *cb_change_answers_find(const cb_change_answers_t *changes,
				    const cb_command_t *command)
{
	const change_t *change =
		g_hash_table_lookup(changes->by_id, command->change_id);
	cb_answer_t *answer;

	if (!change)
		return NULL;
	if (change->content_hash != command_hash_(command)) {
		answer = cb_answer_new(CB_ANSWER_INVALID);
		answer->message = g_strdup("change: change_id: was used for "
					   "another change");
		return answer;
	}
	answer = cb_answer_decode(change->answer);
	g_assert(answer);
	answer->is_replayed = TRUE;
	return answer;
}

static void change_add_(cb_change_answers_t *changes, change_t *change)
{
	change->link.data = change;
	g_hash_table_insert(changes->by_id, change->id, change);
	g_queue_push_tail_link(&changes->order, &change->link);
}

static void changes_trim_(cb_change_answers_t *changes, int64_t at_ms)
{
	int removals;

	for (removals = 0;
	     removals < MAX_REMOVALS_PER_RECORD && changes->order.head;
	     removals++) {
		change_t *oldest = changes->order.head->data;

		if (changes->order.length <= CB_STATE_CHANGE_MAX_COUNT &&
		    oldest->at_ms + CB_STATE_CHANGE_RETENTION_MS > at_ms)
			return;
		g_queue_unlink(&changes->order, &oldest->link);
		g_hash_table_remove(changes->by_id, oldest->id);
	}
}

/* Records the first answer to a new change ID at state time `at_ms`. */
void cb_change_answers_record(cb_change_answers_t *changes,
			      const cb_command_t *command,
			      const cb_answer_t *answer, int64_t at_ms)
{
	change_t *change = g_new0(change_t, 1);

	change->id = g_strdup(command->change_id);
	change->content_hash = command_hash_(command);
	change->at_ms = at_ms;
	change->answer = cb_answer_encode(answer);
	change_add_(changes, change);
	changes_trim_(changes, at_ms);
}

/* Packs the table of answers for a snapshot, the oldest entry first. */
void cb_change_answers_pack(const cb_change_answers_t *changes, cb_pack_t *pack)
{
	const GList *link;

	cb_pack_array(pack, changes->order.length);
	for (link = changes->order.head; link; link = link->next) {
		const change_t *change = link->data;

		cb_pack_array(pack, 4);
		cb_pack_string(pack, change->id);
		cb_pack_uint(pack, change->content_hash);
		cb_pack_int(pack, change->at_ms);
		cb_pack_bytes(pack, change->answer);
	}
}

static change_t *change_read_(const msgpack_object *object)
{
	change_t *change = g_new0(change_t, 1);
	cb_answer_t *answer = NULL;
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	change->id = cb_fields_required_string(&fields);
	change->content_hash = cb_fields_uint(&fields);
	change->at_ms = cb_fields_int(&fields);
	change->answer = cb_fields_bytes(&fields);
	if (change->answer)
		answer = cb_answer_decode(change->answer);
	if (!answer || !cb_fields_are_complete(&fields))
		g_clear_pointer(&change, change_free_);
	cb_answer_delete(answer);
	return change;
}

/*
 * Adds the entries that cb_change_answers_pack() packed; returns FALSE if
 * they are malformed.
 */
gboolean cb_change_answers_read(cb_change_answers_t *changes,
				const msgpack_object *object)
{
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	while (fields.unread_count) {
		change_t *change = change_read_(cb_fields_object(&fields));

		if (!change)
			return FALSE;
		if (g_hash_table_contains(changes->by_id, change->id)) {
			change_free_(change);
			return FALSE;
		}
		change_add_(changes, change);
	}
	return cb_fields_are_complete(&fields);
}
