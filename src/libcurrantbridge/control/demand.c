#include "private/demand.h"

#include "private/pack.h"

#define LINE_FIELD_COUNT 7

static void line_delete_(void *data)
{
	cb_demand_line_t *line = data;

	g_free(line->workspace);
	g_free(line);
}

/* Creates an empty demand report. */
GPtrArray *cb_demand_lines_new(void)
{
	return g_ptr_array_new_with_free_func(line_delete_);
}

/* Adds a workspace's line to a demand report. */
void cb_demand_line_add(GPtrArray *lines, const char *workspace,
			cb_demand_t demand)
{
	cb_demand_line_t *line = g_new0(cb_demand_line_t, 1);

	line->workspace = g_strdup(workspace);
	line->demand = demand;
	g_ptr_array_add(lines, line);
}

static void amount_pack_(cb_pack_t *pack, cb_amount_t amount)
{
	cb_pack_int(pack, amount.tokens_per_s);
	cb_pack_int(pack, amount.requests_per_s);
	cb_pack_int(pack, amount.concurrent);
}

/* Encodes a demand report; the caller unrefs the bytes. */
GBytes *cb_demand_lines_encode(const GPtrArray *lines)
{
	cb_pack_t pack;
	unsigned int i;

	cb_pack_init(&pack);
	cb_pack_array(&pack, lines->len);
	for (i = 0; i < lines->len; i++) {
		const cb_demand_line_t *line = g_ptr_array_index(lines, i);

		cb_pack_array(&pack, LINE_FIELD_COUNT);
		cb_pack_string(&pack, line->workspace);
		amount_pack_(&pack, line->demand.requested);
		amount_pack_(&pack, line->demand.leased);
	}
	return cb_pack_finish(&pack);
}

/* Decodes an amount; a negative one becomes 0. */
static int64_t quantity_decode_(cb_fields_t *fields)
{
	int64_t number = cb_fields_int(fields);

	return MAX(number, 0);
}

static cb_amount_t amount_decode_(cb_fields_t *fields)
{
	cb_amount_t amount;

	amount.tokens_per_s = quantity_decode_(fields);
	amount.requests_per_s = quantity_decode_(fields);
	amount.concurrent = quantity_decode_(fields);
	return amount;
}

/* Decodes and appends one line of a demand report; FALSE if it is malformed. */
static gboolean line_decode_(GPtrArray *lines, const msgpack_object *object)
{
	cb_demand_line_t *line = g_new0(cb_demand_line_t, 1);
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	line->workspace = cb_fields_string(&fields);
	line->demand.requested = amount_decode_(&fields);
	line->demand.leased = amount_decode_(&fields);
	g_ptr_array_add(lines, line);
	return line->workspace && cb_fields_are_complete(&fields);
}

/* Decodes a demand report; returns NULL if the bytes are not exactly one. */
GPtrArray *cb_demand_lines_decode(GBytes *bytes)
{
	GPtrArray *lines = cb_demand_lines_new();
	const msgpack_object *object;
	cb_fields_t fields;
	cb_unpack_t unpack;

	if (!bytes || !cb_unpack_init(&unpack, bytes))
		goto fail;
	cb_fields_open(&fields, &unpack.unpacked.data);
	while (fields.unread_count && !fields.is_malformed) {
		object = cb_fields_object(&fields);
		if (!object || !line_decode_(lines, object))
			fields.is_malformed = TRUE;
	}
	if (fields.is_malformed) {
		cb_unpack_clear(&unpack);
		goto fail;
	}
	cb_unpack_clear(&unpack);
	return lines;
fail:
	g_ptr_array_unref(lines);
	return NULL;
}
