#include "private/rendezvous.h"

#include <string.h>
#include <xxhash.h>

typedef struct scored_instance {
	uint64_t score;
	cb_instance_t *instance;
} scored_instance_t;

static int score_compare_descending_(const void *left, const void *right)
{
	const scored_instance_t *a = left;
	const scored_instance_t *b = right;

	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return strcmp(a->instance->name, b->instance->name);
}

/*
 * Returns the ready instances in the order of their rendezvous hash for
 * `key`, highest first: an instance that is added or removed moves only the
 * keys for which it ranks first.  The caller owns the array, the view the
 * instances.
 */
GPtrArray *cb_rendezvous_rank(const GPtrArray *instances, const char *key)
{
	GArray *scores = g_array_new(FALSE, FALSE, sizeof(scored_instance_t));
	GPtrArray *ranked = g_ptr_array_new();
	uint64_t seed = XXH3_64bits(key, strlen(key));
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		scored_instance_t scored = {
			.instance = g_ptr_array_index(instances, i)
		};

		if (scored.instance->state != CB_INSTANCE_READY)
			continue;
		scored.score =
			XXH3_64bits_withSeed(scored.instance->name,
					     strlen(scored.instance->name),
					     seed);
		g_array_append_val(scores, scored);
	}
	g_array_sort(scores, score_compare_descending_);
	for (i = 0; i < scores->len; i++)
		g_ptr_array_add(
			ranked,
			g_array_index(scores, scored_instance_t, i).instance);
	g_array_unref(scores);
	return ranked;
}

static gboolean contains_data_centre_(const GPtrArray *picked,
				      const cb_instance_t *instance)
{
	unsigned int i;

	for (i = 0; i < picked->len; i++) {
		const cb_instance_t *other = g_ptr_array_index(picked, i);

		if (!strcmp(other->data_centre, instance->data_centre))
			return TRUE;
	}
	return FALSE;
}

/*
 * Picks up to `count` ready instances for `key`.  The highest-ranked instance
 * of each data centre comes before a second one of any data centre, so that
 * the loss of a data centre leaves an address in another.
 */
GPtrArray *cb_rendezvous_pick(const GPtrArray *instances, const char *key,
			      unsigned int count)
{
	GPtrArray *ranked = cb_rendezvous_rank(instances, key);
	GPtrArray *picked = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < ranked->len && picked->len < count; i++) {
		cb_instance_t *instance = g_ptr_array_index(ranked, i);

		if (!contains_data_centre_(picked, instance))
			g_ptr_array_add(picked, instance);
	}
	for (i = 0; i < ranked->len && picked->len < count; i++) {
		cb_instance_t *instance = g_ptr_array_index(ranked, i);

		if (!g_ptr_array_find(picked, instance, NULL))
			g_ptr_array_add(picked, instance);
	}
	g_ptr_array_unref(ranked);
	return picked;
}
