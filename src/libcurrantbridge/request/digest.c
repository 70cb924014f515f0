#include "private/digest.h"

#include <string.h>
#include <xxhash.h>

/*
 * Returns the 128-bit XXH3 hash of `parts` and `body` as hex digits, to be
 * freed with g_free().  `body` may be NULL.  Each part is hashed with its
 * length, so that different lists with the same concatenation differ.
 */
char *cb_digest_text(const char *const *parts, size_t part_count, GBytes *body)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_hash_t hash;
	size_t i;

	XXH3_128bits_reset(state);
	for (i = 0; i < part_count; i++) {
		uint64_t size = strlen(parts[i]);

		XXH3_128bits_update(state, &size, sizeof(size));
		XXH3_128bits_update(state, parts[i], size);
	}
	if (body) {
		size_t size;
		const void *data = g_bytes_get_data(body, &size);

		if (size)
			XXH3_128bits_update(state, data, size);
	}
	hash = XXH3_128bits_digest(state);
	XXH3_freeState(state);
	return g_strdup_printf("%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
			       hash.high64, hash.low64);
}

/*
 * Returns the rank of `name` for `digest` for rendezvous hashing: the same
 * on every instance, and uniformly distributed over the names.
 */
uint64_t cb_digest_rank(const char *digest, const char *name)
{
	uint64_t seed = XXH3_64bits(digest, strlen(digest));

	return XXH3_64bits_withSeed(name, strlen(name), seed);
}
