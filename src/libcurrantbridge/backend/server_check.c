#include <string.h>

#include "currantbridge/fleet.h"

/* With its start time, an ID is the name of a planned stop (at most 256 bytes). */
#define ID_MAX_BYTES 200
#define NAME_MAX_BYTES 256
#define SLOTS_MAX 1000000
/* The year 2100; later start times are not those of a server. */
#define START_WALL_MAX_MS INT64_C(4102444800000)

static gboolean name_is_valid_(const char *name, size_t max_bytes)
{
	return name && *name && strlen(name) <= max_bytes;
}

const char *cb_fleet_server_fault(const cb_fleet_server_t *server)
{
	if (!name_is_valid_(server->id, ID_MAX_BYTES))
		return "id: must have 1 to 200 bytes";
	if (!name_is_valid_(server->service, NAME_MAX_BYTES))
		return "service: must have 1 to 256 bytes";
	if (!name_is_valid_(server->address, NAME_MAX_BYTES))
		return "address: must have 1 to 256 bytes";
	if (!name_is_valid_(server->data_centre, NAME_MAX_BYTES))
		return "data centre: must have 1 to 256 bytes";
	if (server->kind && strlen(server->kind) > NAME_MAX_BYTES)
		return "kind: must have at most 256 bytes";
	if (server->start_wall_ms < 0 ||
	    server->start_wall_ms > START_WALL_MAX_MS)
		return "start: is not the time of a server's start";
	if (server->sequence > G_MAXINT64)
		return "sequence: must be below 2^63";
	if (server->slots > SLOTS_MAX)
		return "slots: must be at most 1000000";
	if (server->cold_remaining_ms < 0 ||
	    server->cold_remaining_ms > CB_FLEET_COLD_MAX_MS)
		return "cold time: must be from 0 to one day";
	if (server->layer_from > server->layer_to ||
	    server->layer_to > CB_ENGINE_LAYERS_MAX)
		return "layers: must be a range of at most 4096 layers";
	return NULL;
}
