#include "private/content.h"

#include <string.h>
#include <xxhash.h>

/* Tells the names of features from the digests of other requests. */
#define NAME_PREFIX "content-"
#define NAME_HASH_DIGITS 16

/* Seeds that keep the hashes of parts and of whole requests apart. */
#define PART_SEED 1
#define WHOLE_SEED 2

/* Adds a text and its length to a hash; NULL counts as an empty text. */
static void text_hash_(XXH3_state_t *state, const char *text)
{
	uint64_t size = text ? strlen(text) : 0;

	XXH3_64bits_update(state, &size, sizeof(size));
	if (size)
		XXH3_64bits_update(state, text, size);
}

static uint64_t request_hash_(const cb_content_request_t *request,
			      const cb_text_part_t *parts,
			      unsigned int part_count)
{
	XXH3_state_t *state = XXH3_createState();
	uint64_t hash;
	unsigned int i;

	XXH3_64bits_reset_withSeed(state, WHOLE_SEED);
	text_hash_(state, request->method);
	text_hash_(state, request->target);
	text_hash_(state, request->key);
	for (i = 0; i < part_count; i++) {
		uint64_t size = parts[i].size;

		XXH3_64bits_update(state, &size, sizeof(size));
		XXH3_64bits_update(state, parts[i].text, size);
	}
	if (request->body && request->body->len)
		XXH3_64bits_update(state, request->body->data,
				   request->body->len);
	hash = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return hash;
}

/*
 * Returns the features of a request, as an array of cb_content_feature_t that
 * the caller unrefs: first the shared parts of its prompt, of which the first
 * CB_CONTENT_PARTS_MAX count, then the whole request.
 */
GArray *cb_content_features_new(const cb_content_request_t *request,
				const cb_text_part_t *parts,
				unsigned int part_count)
{
	unsigned int count = MIN(part_count, CB_CONTENT_PARTS_MAX);
	GArray *features =
		g_array_sized_new(FALSE, FALSE, sizeof(cb_content_feature_t),
				  count + 1);
	cb_content_feature_t whole = { request_hash_(request, parts, count),
				       CB_CONTENT_WHOLE };
	unsigned int i;

	for (i = 0; i < count; i++) {
		cb_content_feature_t part = {
			XXH3_64bits_withSeed(parts[i].text, parts[i].size,
					     PART_SEED),
			i + 1
		};

		g_array_append_val(features, part);
	}
	g_array_append_val(features, whole);
	return features;
}

/*
 * Returns the features as text for the log, "HASH HASH HASH", the whole request
 * last; the caller frees it.
 */
char *cb_content_features_text(const GArray *features)
{
	GString *text =
		g_string_sized_new((NAME_HASH_DIGITS + 1) * features->len);
	unsigned int i;

	for (i = 0; i < features->len; i++)
		g_string_append_printf(
			text, "%s%016" G_GINT64_MODIFIER "x", i ? " " : "",
			g_array_index(features, cb_content_feature_t, i).hash);
	return g_string_free(text, FALSE);
}

/* Returns the name under which a feature is shared; the caller frees it. */
char *cb_content_name_new(uint64_t hash)
{
	return g_strdup_printf(NAME_PREFIX "%016" G_GINT64_MODIFIER "x", hash);
}

/* Reads the hash from a feature's name; FALSE: it is no name of a feature. */
gboolean cb_content_name_read(const char *name, uint64_t *hash)
{
	size_t prefix_size = strlen(NAME_PREFIX);
	guint64 value;

	if (!g_str_has_prefix(name, NAME_PREFIX) ||
	    strlen(name) != prefix_size + NAME_HASH_DIGITS ||
	    !g_ascii_string_to_unsigned(name + prefix_size, 16, 0, G_MAXUINT64,
					&value, NULL))
		return FALSE;
	*hash = value;
	return TRUE;
}
