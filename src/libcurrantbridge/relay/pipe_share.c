#include "private/pipe_share.h"

#define MS_PER_S 1000.0
#define BYTES_PER_MBIT 125000.0
/*
 * The part of the links that requests may use: transfers are sent one after
 * another, and near the full rate each would wait for many others.
 */
#define USED_FRACTION 0.6
/* An instance saves up its share of this time while it does not use it. */
#define SAVED_MS 1000

/* The links of one service's engines. */
typedef struct pipe {
	double bytes; /* bytes that may be sent now; negative: owed */
	int64_t filled_ms;
} pipe_t;

struct cb_pipe_share {
	cb_clock_t *clock;
	GHashTable *pipes; /* service name to pipe_t */
};

/* Creates a share of which nothing is used. */
cb_pipe_share_t *cb_pipe_share_new(cb_clock_t *clock)
{
	cb_pipe_share_t *share = g_new0(cb_pipe_share_t, 1);

	share->clock = clock;
	share->pipes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return share;
}

/* Frees a share; NULL is allowed. */
void cb_pipe_share_delete(cb_pipe_share_t *share)
{
	if (!share)
		return;
	g_hash_table_unref(share->pipes);
	g_free(share);
}

/* Returns the record of a service's links, creating it if there is none. */
static pipe_t *pipe_get_(cb_pipe_share_t *share, const char *service)
{
	pipe_t *pipe = g_hash_table_lookup(share->pipes, service);

	if (pipe)
		return pipe;
	pipe = g_new0(pipe_t, 1);
	pipe->filled_ms = cb_clock_now_ms(share->clock) - SAVED_MS;
	g_hash_table_insert(share->pipes, g_strdup(service), pipe);
	return pipe;
}

/* Returns whether another request may send its activations over the links. */
gboolean cb_pipe_share_has_room(cb_pipe_share_t *share, const char *service,
				double pipe_mbps, unsigned int instances)
{
	double bytes_per_ms = pipe_mbps * BYTES_PER_MBIT / MS_PER_S *
			      USED_FRACTION / MAX(instances, 1);
	int64_t now_ms = cb_clock_now_ms(share->clock);
	pipe_t *pipe;

	if (pipe_mbps <= 0)
		return TRUE;
	pipe = pipe_get_(share, service);
	pipe->bytes += bytes_per_ms * (double)(now_ms - pipe->filled_ms);
	pipe->bytes = MIN(pipe->bytes, bytes_per_ms * SAVED_MS);
	pipe->filled_ms = now_ms;
	return pipe->bytes > 0;
}

/* Records bytes that a request will send; what is owed delays the next one. */
void cb_pipe_share_take(cb_pipe_share_t *share, const char *service,
			double bytes)
{
	pipe_get_(share, service)->bytes -= bytes;
}
