#include "private/item.h"

#include <string.h>
#include <xxhash.h>

/* Returns the item name "KIND/NAME" of a planned stop; the caller frees it. */
char *cb_stop_item_name(cb_stop_kind_t kind, const char *name)
{
	return g_strdup_printf("%s/%s", cb_stop_kind_string[kind], name);
}

static void stop_delete_(cb_stop_t *stop)
{
	g_free(stop->name);
	g_free(stop);
}

static void instance_delete_(cb_instance_t *instance)
{
	g_free(instance->name);
	g_free(instance->address);
	g_free(instance->data_centre);
	g_free(instance);
}

static void quarantine_delete_(cb_quarantine_t *quarantine)
{
	g_free(quarantine->digest);
	g_strfreev(quarantine->deaths);
	g_free(quarantine);
}

static void server_delete_(cb_stored_server_t *server)
{
	g_free(server->id);
	g_clear_pointer(&server->record, g_bytes_unref);
	g_free(server);
}

static void document_delete_(cb_document_text_t *document)
{
	g_clear_pointer(&document->packed, g_bytes_unref);
	g_free(document);
}

/* Frees the value of an item; NULL is allowed. */
void cb_item_value_delete(cb_item_kind_t kind, void *value)
{
	if (!value)
		return;
	switch (kind) {
	case CB_ITEM_CONTRACT:
		cb_contract_delete(value);
		return;
	case CB_ITEM_STOP:
		stop_delete_(value);
		return;
	case CB_ITEM_INSTANCE:
		instance_delete_(value);
		return;
	case CB_ITEM_QUARANTINE:
		quarantine_delete_(value);
		return;
	case CB_ITEM_SERVER:
		server_delete_(value);
		return;
	case CB_ITEM_DOCUMENT:
		document_delete_(value);
		return;
	case CB_ITEM_KIND_COUNT:
		break;
	}
	g_assert_not_reached();
}

/* Frees the fields of an item and zeroes it. */
void cb_item_clear(cb_item_t *item)
{
	cb_item_value_delete(item->kind, item->value);
	g_free(item->name);
	*item = (cb_item_t){ 0 };
}

static void value_pack_(cb_pack_t *pack, cb_item_kind_t kind, const void *value)
{
	const cb_contract_t *contract = value;
	const cb_stop_t *stop = value;
	const cb_instance_t *instance = value;
	const cb_quarantine_t *quarantine = value;
	const cb_document_text_t *document = value;
	const cb_stored_server_t *server = value;
	char **death;

	switch (kind) {
	case CB_ITEM_CONTRACT:
		cb_pack_array(pack, 1);
		cb_pack_string(pack, contract->text);
		return;
	case CB_ITEM_STOP:
		cb_pack_array(pack, 2);
		cb_pack_uint(pack, stop->kind);
		cb_pack_string(pack, stop->name);
		return;
	case CB_ITEM_INSTANCE:
		cb_pack_array(pack, 5);
		cb_pack_string(pack, instance->name);
		cb_pack_string(pack, instance->address);
		cb_pack_string(pack, instance->data_centre);
		cb_pack_uint(pack, instance->incarnation);
		cb_pack_uint(pack, instance->state);
		return;
	case CB_ITEM_QUARANTINE:
		cb_pack_array(pack, 3 + g_strv_length(quarantine->deaths));
		cb_pack_string(pack, quarantine->digest);
		cb_pack_int(pack, quarantine->until_wall_ms);
		cb_pack_int(pack, quarantine->suspect_until_wall_ms);
		for (death = quarantine->deaths; *death; death++)
			cb_pack_string(pack, *death);
		return;
	case CB_ITEM_SERVER:
		cb_pack_array(pack, 2);
		cb_pack_string(pack, server->id);
		cb_pack_bytes(pack, server->record);
		return;
	case CB_ITEM_DOCUMENT:
		cb_pack_array(pack, 2);
		cb_pack_int(pack, document->version);
		cb_pack_bytes(pack, document->packed);
		return;
	case CB_ITEM_KIND_COUNT:
		break;
	}
	g_assert_not_reached();
}

/* Encodes an item; a NULL `value` means that the item was removed. */
void cb_item_pack(cb_pack_t *pack, const cb_item_t *item)
{
	cb_pack_array(pack, 4);
	cb_pack_uint(pack, item->kind);
	cb_pack_string(pack, item->name);
	cb_pack_uint(pack, item->revision);
	if (item->value)
		value_pack_(pack, item->kind, item->value);
	else
		cb_pack_string(pack, NULL);
}

static void *contract_read_(cb_fields_t *fields, const char *name)
{
	cb_contract_t *contract = NULL;
	char *text = cb_fields_required_string(fields);

	if (text)
		contract = cb_contract_parse_canonical(text);
	g_free(text);
	if (contract && !strcmp(contract->workspace, name))
		return contract;
	cb_contract_delete(contract);
	return NULL;
}

static void *stop_read_(cb_fields_t *fields, const char *name)
{
	cb_stop_t *stop = g_new0(cb_stop_t, 1);
	char *item_name = NULL;

	stop->kind = cb_fields_enum(fields, CB_STOP_KIND_COUNT);
	stop->name = cb_fields_required_string(fields);
	if (stop->name)
		item_name = cb_stop_item_name(stop->kind, stop->name);
	if (g_strcmp0(item_name, name)) {
		stop_delete_(stop);
		stop = NULL;
	}
	g_free(item_name);
	return stop;
}

static void *instance_read_(cb_fields_t *fields, const char *name)
{
	cb_instance_t *instance = g_new0(cb_instance_t, 1);

	instance->name = cb_fields_required_string(fields);
	instance->address = cb_fields_required_string(fields);
	instance->data_centre = cb_fields_required_string(fields);
	instance->incarnation = cb_fields_uint(fields);
	instance->state = cb_fields_enum(fields, CB_INSTANCE_STATE_COUNT);
	if (!g_strcmp0(instance->name, name))
		return instance;
	instance_delete_(instance);
	return NULL;
}

static void *quarantine_read_(cb_fields_t *fields, const char *name)
{
	cb_quarantine_t *quarantine = g_new0(cb_quarantine_t, 1);
	GStrvBuilder *deaths = g_strv_builder_new();

	quarantine->digest = cb_fields_required_string(fields);
	quarantine->until_wall_ms = cb_fields_int(fields);
	quarantine->suspect_until_wall_ms = cb_fields_int(fields);
	while (fields->unread_count && !fields->is_malformed) {
		char *death = cb_fields_required_string(fields);

		if (death)
			g_strv_builder_add(deaths, death);
		g_free(death);
	}
	quarantine->deaths = g_strv_builder_end(deaths);
	g_strv_builder_unref(deaths);
	if (!g_strcmp0(quarantine->digest, name))
		return quarantine;
	quarantine_delete_(quarantine);
	return NULL;
}

static void *server_read_(cb_fields_t *fields, const char *name)
{
	cb_stored_server_t *server = g_new0(cb_stored_server_t, 1);

	server->id = cb_fields_required_string(fields);
	server->record = cb_fields_bytes(fields);
	if (server->record && !g_strcmp0(server->id, name))
		return server;
	server_delete_(server);
	return NULL;
}

static void *document_read_(cb_fields_t *fields, const char *name)
{
	cb_document_text_t *document = g_new0(cb_document_text_t, 1);

	document->version = cb_fields_int(fields);
	document->packed = cb_fields_bytes(fields);
	if (document->packed && !g_strcmp0(name, CB_DOCUMENT_ITEM_NAME))
		return document;
	document_delete_(document);
	return NULL;
}

static void value_set_revision_(cb_item_t *item)
{
	switch (item->kind) {
	case CB_ITEM_CONTRACT:
		((cb_contract_t *)item->value)->revision = item->revision;
		return;
	case CB_ITEM_STOP:
		((cb_stop_t *)item->value)->revision = item->revision;
		return;
	case CB_ITEM_INSTANCE:
		((cb_instance_t *)item->value)->revision = item->revision;
		return;
	case CB_ITEM_QUARANTINE:
		((cb_quarantine_t *)item->value)->revision = item->revision;
		return;
	case CB_ITEM_SERVER:
		((cb_stored_server_t *)item->value)->revision = item->revision;
		return;
	case CB_ITEM_DOCUMENT:
		((cb_document_text_t *)item->value)->revision = item->revision;
		return;
	case CB_ITEM_KIND_COUNT:
		break;
	}
	g_assert_not_reached();
}

static void *value_read_(const msgpack_object *object, cb_item_kind_t kind,
			 const char *name)
{
	static void *(*const read_fns[])(cb_fields_t * fields,
					 const char *name) = {
		[CB_ITEM_CONTRACT] = contract_read_,
		[CB_ITEM_STOP] = stop_read_,
		[CB_ITEM_INSTANCE] = instance_read_,
		[CB_ITEM_QUARANTINE] = quarantine_read_,
		[CB_ITEM_SERVER] = server_read_,
		[CB_ITEM_DOCUMENT] = document_read_,
	};
	cb_fields_t fields;
	void *value;

	cb_fields_open(&fields, object);
	value = read_fns[kind](&fields, name);
	if (value && cb_fields_are_complete(&fields))
		return value;
	cb_item_value_delete(kind, value);
	return NULL;
}

/*
 * Decodes an item, which the caller clears.  Returns FALSE, with nothing to
 * clear, if it is malformed.
 */
gboolean cb_item_read(const msgpack_object *object, cb_item_t *item)
{
	const msgpack_object *value;
	cb_fields_t fields;

	*item = (cb_item_t){ 0 };
	cb_fields_open(&fields, object);
	item->kind = cb_fields_enum(&fields, CB_ITEM_KIND_COUNT);
	item->name = cb_fields_required_string(&fields);
	item->revision = cb_fields_uint(&fields);
	value = cb_fields_object(&fields);
	if (!cb_fields_are_complete(&fields))
		goto fail;
	if (value->type == MSGPACK_OBJECT_NIL)
		return TRUE;
	item->value = value_read_(value, item->kind, item->name);
	if (!item->value)
		goto fail;
	value_set_revision_(item);
	return TRUE;

fail:
	cb_item_clear(item);
	return FALSE;
}

/* Returns `body` with its hash in front; takes ownership of `body`. */
GBytes *cb_update_add_hash(GBytes *body)
{
	gsize size;
	const void *data = g_bytes_get_data(body, &size);
	uint64_t hash = GUINT64_TO_LE(XXH3_64bits(data, size));
	uint8_t *update = g_malloc(sizeof(hash) + size);

	memcpy(update, &hash, sizeof(hash));
	memcpy(update + sizeof(hash), data, size);
	g_bytes_unref(body);
	return g_bytes_new_take(update, sizeof(hash) + size);
}

/* Returns the body of an update without its hash, or NULL if it is damaged. */
GBytes *cb_update_check_hash(GBytes *update)
{
	uint64_t hash;
	gsize size;
	const uint8_t *data = g_bytes_get_data(update, &size);

	if (size < sizeof(hash))
		return NULL;
	memcpy(&hash, data, sizeof(hash));
	size -= sizeof(hash);
	if (GUINT64_FROM_LE(hash) != XXH3_64bits(data + sizeof(hash), size))
		return NULL;
	return g_bytes_new_from_bytes(update, sizeof(hash), size);
}
