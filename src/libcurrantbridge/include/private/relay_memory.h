#ifndef PRIVATE_RELAY_MEMORY_H
#define PRIVATE_RELAY_MEMORY_H

#include "private/relay.h"

/* Result of an attempt that was broken off since too much was kept for it. */
#define CB_RELAY_MEMORY "memory"

/* Opens the request's accounts, and has its exchange ask it to give way. */
void cb_relay_memory_init(cb_relay_t *relay);
/* Closes the request's accounts. */
void cb_relay_memory_clear(cb_relay_t *relay);
/* Counts what is kept of the answer now. */
void cb_relay_memory_update(cb_relay_t *relay);
/* Returns up to which size an answer is kept until it is complete. */
size_t cb_relay_memory_buffered_max(const cb_relay_t *relay,
				    size_t usual_bytes);
/* Stops reading the answer if memory is tight and the caller lags. */
void cb_relay_memory_check_caller(cb_relay_t *relay);

#endif
