#include "currantbridge/engine_client.h"

const char *const cb_failure_string[CB_FAILURE_COUNT] = {
	[CB_FAILURE_NONE] = "none",
	[CB_FAILURE_CONNECT] = "connect",
	[CB_FAILURE_NO_RESOURCES] = "no_resources",
	[CB_FAILURE_REFUSED] = "refused",
	[CB_FAILURE_FENCED] = "fenced",
	[CB_FAILURE_NO_CONTEXT] = "no_context",
	[CB_FAILURE_LOST] = "lost",
	[CB_FAILURE_SILENT] = "silent",
	[CB_FAILURE_MISMATCH] = "mismatch",
};

/* Returns whether the server may have run the request despite the failure. */
gboolean cb_failure_is_unknown(cb_failure_t failure)
{
	return failure == CB_FAILURE_LOST || failure == CB_FAILURE_SILENT ||
	       failure == CB_FAILURE_MISMATCH;
}
