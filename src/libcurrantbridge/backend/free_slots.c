#include "private/free_slots.h"

#include <string.h>

#define MAX_LAYERS 4096

static int64_t server_free_(const cb_server_registry_t *registry,
			    const cb_server_t *server)
{
	if (!cb_server_accepts(registry, server))
		return 0;
	return MAX(server->capacity - cb_server_load(server), 0);
}

/*
 * Adds an engine's free slots to every layer that it holds; `layers` has
 * the change of the sum at each layer.
 */
static uint32_t engine_add_(int64_t *layers, const cb_server_t *server,
			    const char *model, int64_t free_slots)
{
	unsigned int i;

	for (i = 0; server->ranges && i < server->ranges->len; i++) {
		const cb_layer_range_t *range =
			g_ptr_array_index(server->ranges, i);

		if (strcmp(range->model, model) ||
		    range->layer_count > MAX_LAYERS ||
		    range->last_layer >= range->layer_count ||
		    range->first_layer > range->last_layer)
			continue;
		layers[range->first_layer] += free_slots;
		layers[range->last_layer + 1] -= free_slots;
		return range->layer_count;
	}
	return 0;
}

/*
 * Returns how many more requests the engines of a model can take: the least
 * over its layers.  -1 if no engine holds the model.
 */
int64_t cb_free_slots_model(const cb_server_registry_t *registry,
			    const char *model)
{
	const GPtrArray *engines = cb_server_engines(registry, model);
	int64_t *layers;
	int64_t least = G_MAXINT64;
	int64_t sum = 0;
	uint32_t count = 0;
	uint32_t layer;
	unsigned int i;

	if (!engines || !engines->len)
		return -1;
	layers = g_new0(int64_t, MAX_LAYERS + 1);
	for (i = 0; i < engines->len; i++) {
		const cb_server_t *server = g_ptr_array_index(engines, i);
		uint32_t held = engine_add_(layers, server, model,
					    server_free_(registry, server));

		count = MAX(count, held);
	}
	for (layer = 0; layer < count; layer++) {
		sum += layers[layer];
		least = MIN(least, sum);
	}
	g_free(layers);
	return count ? least : -1;
}

/* Returns how many more calls a plain service can take; -1 without server. */
int64_t cb_free_slots_service(const cb_server_registry_t *registry,
			      const char *service)
{
	const GPtrArray *servers = cb_server_services(registry, service);
	int64_t sum = 0;
	unsigned int i;

	if (!servers || !servers->len)
		return -1;
	for (i = 0; i < servers->len; i++)
		sum += server_free_(registry, g_ptr_array_index(servers, i));
	return sum;
}
