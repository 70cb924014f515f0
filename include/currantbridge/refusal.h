#ifndef CURRANTBRIDGE_REFUSAL_H
#define CURRANTBRIDGE_REFUSAL_H

#include <stdint.h>

/*
 * Every reason for which a request is refused or given up, each with one
 * HTTP status and one counter (cb_refusals_total{reason="..."}).
 */
typedef enum cb_refusal {
	CB_REFUSAL_NONE,
#define CB_REFUSAL(name, word, status, message) CB_REFUSAL_##name,
#include "currantbridge/refusal.def"
#undef CB_REFUSAL
	CB_REFUSAL_COUNT
} cb_refusal_t;

extern const char *const cb_refusal_string[CB_REFUSAL_COUNT];
extern const char *const cb_refusal_message[CB_REFUSAL_COUNT];
extern const uint32_t cb_refusal_status[CB_REFUSAL_COUNT];

#endif
