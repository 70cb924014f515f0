#include "private/server_ends.h"

#include <errno.h>

#include "private/stream.h"

/*
 * After the first lost connection of a server: the others that its end breaks
 * are lost within this time.
 */
#define COLLECT_MS 30
/* A connection that is neither made nor refused by then proves nothing. */
#define CHECK_TIMEOUT_MS 200

const char *const cb_server_check_string[CB_SERVER_CHECK_COUNT] = {
	[CB_SERVER_CHECK_REFUSED] = "refused",
	[CB_SERVER_CHECK_CONNECTED] = "connected",
	[CB_SERVER_CHECK_UNANSWERED] = "unanswered",
};

/* The check of one server process. */
typedef struct check {
	cb_server_ends_t *ends;
	char *name; /* key in cb_server_ends.checks */
	cb_relay_hop_t server;
	GPtrArray *losses; /* elements: cb_content_attempt_t */
	cb_stream_t *stream;
	cb_server_check_t state;
	int64_t since_ms;
	cb_timer_t *timer;
} check_t;

struct cb_server_ends {
	cb_clock_t *clock;
	cb_poller_t *poller;
	cb_server_checked_fn_t fn;
	void *user_data;
	GHashTable *checks; /* "ID/START" to check_t */
};

static void check_delete_(void *data)
{
	check_t *check = data;

	cb_stream_delete(check->stream);
	cb_timer_delete(check->timer);
	g_ptr_array_unref(check->losses);
	g_free(check->server.id);
	g_free(check->server.address);
	g_free(check->name);
	g_free(check);
}

/*
 * Creates the checks of one instance; `clock` and `user_data` must outlive
 * them.
 */
cb_server_ends_t *cb_server_ends_new(GMainContext *context, cb_clock_t *clock,
				     cb_server_checked_fn_t fn, void *user_data)
{
	cb_server_ends_t *ends = g_new0(cb_server_ends_t, 1);

	ends->clock = clock;
	ends->poller = cb_poller_new(context);
	ends->fn = fn;
	ends->user_data = user_data;
	ends->checks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     check_delete_);
	return ends;
}

/* Drops all checks; NULL is allowed. */
void cb_server_ends_delete(cb_server_ends_t *ends)
{
	if (!ends)
		return;
	g_hash_table_unref(ends->checks);
	cb_poller_delete(ends->poller);
	g_free(ends);
}

static void check_opened_(void *user_data)
{
	((check_t *)user_data)->state = CB_SERVER_CHECK_CONNECTED;
}

static void check_received_(void *user_data, const uint8_t *data, size_t size)
{
	(void)user_data;
	(void)data;
	(void)size;
}

static void check_ended_(void *user_data, cb_stream_end_t end)
{
	check_t *check = user_data;

	if (check->state == CB_SERVER_CHECK_UNANSWERED &&
	    end == CB_STREAM_END_REFUSED)
		check->state = CB_SERVER_CHECK_REFUSED;
}

/* Reports what the check has shown, unless it may take longer. */
static void check_timer_fired_(void *user_data)
{
	check_t *check = user_data;
	cb_server_ends_t *ends = check->ends;
	int64_t age_ms = cb_clock_now_ms(ends->clock) - check->since_ms;

	if (check->state == CB_SERVER_CHECK_UNANSWERED &&
	    age_ms < CHECK_TIMEOUT_MS) {
		cb_timer_start(check->timer, CHECK_TIMEOUT_MS - age_ms);
		return;
	}
	g_hash_table_steal(ends->checks, check->name);
	ends->fn(&check->server, check->state, check->losses, ends->user_data);
	check_delete_(check);
}

static void check_start_(check_t *check)
{
	static const cb_stream_handler_t handler = {
		.opened = check_opened_,
		.received = check_received_,
		.ended = check_ended_,
	};

	errno = 0;
	check->stream =
		cb_stream_connect(check->ends->poller, check->server.address,
				  &handler, check);
	if (!check->stream)
		check->state = errno == ECONNREFUSED ?
				       CB_SERVER_CHECK_REFUSED :
				       CB_SERVER_CHECK_CONNECTED;
	cb_timer_start(check->timer, COLLECT_MS);
}

/*
 * Takes note that a connection to a server was lost, with data on the request
 * that used it.  The first loss of a process starts its check.
 */
void cb_server_ends_add_loss(cb_server_ends_t *ends,
			     const cb_relay_hop_t *server,
			     cb_content_attempt_t *loss)
{
	char *name = g_strdup_printf("%s/%" G_GINT64_FORMAT, server->id,
				     server->start_wall_ms);
	check_t *check = g_hash_table_lookup(ends->checks, name);

	if (check) {
		g_ptr_array_add(check->losses, loss);
		g_free(name);
		return;
	}
	check = g_new0(check_t, 1);
	check->ends = ends;
	check->name = name;
	check->server = *server;
	check->server.id = g_strdup(server->id);
	check->server.address = g_strdup(server->address);
	check->since_ms = cb_clock_now_ms(ends->clock);
	check->state = CB_SERVER_CHECK_UNANSWERED;
	check->losses =
		g_ptr_array_new_with_free_func(cb_content_attempt_delete);
	g_ptr_array_add(check->losses, loss);
	check->timer = cb_timer_new(ends->clock, check_timer_fired_, check);
	g_hash_table_insert(ends->checks, check->name, check);
	check_start_(check);
}
