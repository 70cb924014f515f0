#include "private/free_slots.h"

#include <string.h>

#define MAX_LAYERS 4096

static int64_t free_slots_count_(const cb_server_registry_t *registry,
				 const cb_server_t *server)
{
	if (!cb_server_accepts(registry, server))
		return 0;
	return MAX(server->capacity - cb_server_load(server), 0);
}

/*
 * Adds an engine's free slots to each layer that it holds.  `slot_deltas` has
 * the difference of each layer's sum from that of the layer before.  Returns
 * the number of layers of the model, or 0 if the engine has no valid range of
 * it.
 */
static uint32_t engine_slots_add_(int64_t *slot_deltas,
				  const cb_server_t *server, const char *model,
				  int64_t free_slots)
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
		slot_deltas[range->first_layer] += free_slots;
		slot_deltas[range->last_layer + 1] -= free_slots;
		return range->layer_count;
	}
	return 0;
}

/*
 * Returns how many more requests the engines of a model can run: the minimum
 * over its layers.  Returns -1 if no engine holds layers of the model.
 */
int64_t cb_free_slots_model(const cb_server_registry_t *registry,
			    const char *model)
{
	const GPtrArray *engines = cb_server_engines(registry, model);
	int64_t *slot_deltas;
	int64_t min_slots = G_MAXINT64;
	int64_t slots = 0;
	uint32_t layer_count = 0;
	uint32_t layer;
	unsigned int i;

	if (!engines || !engines->len)
		return -1;
	slot_deltas = g_new0(int64_t, MAX_LAYERS + 1);
	for (i = 0; i < engines->len; i++) {
		const cb_server_t *server = g_ptr_array_index(engines, i);
		uint32_t engine_layers =
			engine_slots_add_(slot_deltas, server, model,
					  free_slots_count_(registry, server));

		layer_count = MAX(layer_count, engine_layers);
	}
	for (layer = 0; layer < layer_count; layer++) {
		slots += slot_deltas[layer];
		min_slots = MIN(min_slots, slots);
	}
	g_free(slot_deltas);
	return layer_count ? min_slots : -1;
}

/* Returns how many more calls a plain service can run; -1 without a server. */
int64_t cb_free_slots_service(const cb_server_registry_t *registry,
			      const char *service)
{
	const GPtrArray *servers = cb_server_services(registry, service);
	int64_t slots = 0;
	unsigned int i;

	if (!servers || !servers->len)
		return -1;
	for (i = 0; i < servers->len; i++)
		slots += free_slots_count_(registry,
					   g_ptr_array_index(servers, i));
	return slots;
}
