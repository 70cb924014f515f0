#include "currantbridge/refusal.h"

const char *const cb_refusal_string[CB_REFUSAL_COUNT] = {
	[CB_REFUSAL_NONE] = "none",
#define CB_REFUSAL(name, word, status, message) [CB_REFUSAL_##name] = (word),
#include "currantbridge/refusal.def"
#undef CB_REFUSAL
};

const char *const cb_refusal_message[CB_REFUSAL_COUNT] = {
	[CB_REFUSAL_NONE] = "",
#define CB_REFUSAL(name, word, status, message) [CB_REFUSAL_##name] = (message),
#include "currantbridge/refusal.def"
#undef CB_REFUSAL
};

const uint32_t cb_refusal_status[CB_REFUSAL_COUNT] = {
	[CB_REFUSAL_NONE] = 200,
#define CB_REFUSAL(name, word, status, message) [CB_REFUSAL_##name] = (status),
#include "currantbridge/refusal.def"
#undef CB_REFUSAL
};
