#ifndef PRIVATE_FREE_SLOTS_H
#define PRIVATE_FREE_SLOTS_H

#include "currantbridge/server.h"

int64_t cb_free_slots_model(const cb_server_registry_t *registry,
			    const char *model);
int64_t cb_free_slots_service(const cb_server_registry_t *registry,
			      const char *service);

#endif
