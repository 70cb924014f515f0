#include "private/state_data.h"

#define SNAPSHOT_VERSION 1

G_DEFINE_QUARK(cb - state - error - quark, cb_state_error)

static void age_queue_entry_pack_(const char *name, int64_t at_ms,
				  void *user_data)
{
	cb_pack_t *pack = user_data;

	cb_pack_array(pack, 2);
	cb_pack_string(pack, name);
	cb_pack_int(pack, at_ms);
}

static void age_queue_pack_(const cb_age_queue_t *queue, cb_pack_t *pack)
{
	cb_pack_array(pack, cb_age_queue_count(queue));
	cb_age_queue_foreach(queue, age_queue_entry_pack_, pack);
}

/* Encodes the whole state; the caller unrefs the bytes. */
GBytes *cb_state_snapshot(const cb_state_t *state)
{
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, 10);
	cb_pack_uint(&pack, SNAPSHOT_VERSION);
	cb_pack_uint(&pack, cb_state_revision(state));
	cb_pack_int(&pack, state->wall_ms);
	cb_pack_int(&pack, state->elapsed_ms);
	cb_pack_uint(&pack, cb_change_history_floor(state->history));
	cb_change_history_pack_since(state->history, 0, state->view,
				     CB_CHANGES_REMOVED | CB_CHANGES_SERVERS,
				     &pack);
	cb_change_answers_pack(state->change_answers, &pack);
	cb_claims_pack(state->claims, &pack);
	age_queue_pack_(state->silent_instances, &pack);
	age_queue_pack_(state->quarantine_digests, &pack);
	return cb_update_add_hash(cb_pack_finish(&pack));
}

static gboolean items_read_(cb_state_t *state, const msgpack_object *object)
{
	cb_change_history_entry_t change;
	cb_fields_t fields;
	cb_item_t item;

	cb_fields_open(&fields, object);
	while (fields.unread_count) {
		if (!cb_item_read(cb_fields_object(&fields), &item))
			return FALSE;
		change = (cb_change_history_entry_t){ item.kind, item.name,
						      item.revision,
						      !item.value };
		cb_change_history_record(state->history, &change);
		if (item.value)
			cb_view_put_item(state->view, item.kind,
					 g_steal_pointer(&item.value));
		cb_item_clear(&item);
	}
	return cb_fields_are_complete(&fields);
}

/*
 * Reads what age_queue_pack_() packed.  Returns FALSE if it is malformed or a
 * name is not an item of `kind`.
 */
static gboolean age_queue_read_(const cb_state_t *state, cb_age_queue_t *queue,
				cb_item_kind_t kind,
				const msgpack_object *object)
{
	cb_fields_t fields;
	cb_fields_t entry;
	gboolean is_read;
	int64_t at_ms;
	char *name;

	cb_fields_open(&fields, object);
	while (fields.unread_count) {
		cb_fields_open(&entry, cb_fields_object(&fields));
		name = cb_fields_required_string(&entry);
		at_ms = cb_fields_int(&entry);
		is_read = cb_fields_are_complete(&entry) &&
			  cb_view_find_item(state->view, kind, name);
		if (is_read)
			cb_age_queue_add(queue, name, at_ms);
		g_free(name);
		if (!is_read)
			return FALSE;
	}
	return cb_fields_are_complete(&fields);
}

/* Reads a snapshot into an empty state; returns FALSE if it is malformed. */
static gboolean snapshot_read_(cb_state_t *state, const msgpack_object *object)
{
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	if (cb_fields_uint(&fields) != SNAPSHOT_VERSION)
		return FALSE;
	cb_view_set_revision(state->view, cb_fields_uint(&fields));
	state->wall_ms = cb_fields_int(&fields);
	state->elapsed_ms = cb_fields_int(&fields);
	cb_change_history_set_floor(state->history, cb_fields_uint(&fields));
	return items_read_(state, cb_fields_object(&fields)) &&
	       cb_change_answers_read(state->change_answers,
				      cb_fields_object(&fields)) &&
	       cb_claims_read(state->claims, cb_fields_object(&fields)) &&
	       age_queue_read_(state, state->silent_instances, CB_ITEM_INSTANCE,
			       cb_fields_object(&fields)) &&
	       age_queue_read_(state, state->quarantine_digests,
			       CB_ITEM_QUARANTINE, cb_fields_object(&fields)) &&
	       cb_fields_are_complete(&fields);
}

/*
 * Replaces the whole state by a snapshot.  Returns FALSE with an error if the
 * snapshot is damaged; the state is then unchanged.
 */
gboolean cb_state_restore(cb_state_t *state, GBytes *snapshot, GError **error)
{
	GBytes *body = cb_update_check_hash(snapshot);
	cb_state_t old = *state;
	cb_state_t restored;
	gboolean is_read = FALSE;
	cb_unpack_t unpack;

	cb_state_content_init(state);
	if (body && cb_unpack_init(&unpack, body)) {
		is_read = snapshot_read_(state, &unpack.unpacked.data);
		cb_unpack_clear(&unpack);
	}
	g_clear_pointer(&body, g_bytes_unref);
	restored = *state;
	if (is_read) {
		cb_state_content_clear(&old);
		return TRUE;
	}
	*state = old;
	cb_state_content_clear(&restored);
	g_set_error(error, CB_STATE_ERROR, CB_STATE_ERROR_DAMAGED,
		    "the snapshot of the state is damaged");
	return FALSE;
}
