#include "private/server_ends.h"

#include <errno.h>
#include <string.h>

#include "private/stream.h"

/*
 * After the first lost connection of a server: the others that its end breaks
 * are lost within this time.
 */
#define COLLECT_MS 30
/* A connection that is neither made nor refused by then proves nothing. */
#define CHECK_TIMEOUT_MS 200
/* A process that has ended in silence is replaced within this time. */
#define SILENCE_VALID_MS 15000
/* Silent processes that are remembered at once. */
#define SILENCES_MAX 1024

const char *const cb_server_check_string[CB_SERVER_CHECK_COUNT] = {
	[CB_SERVER_CHECK_REFUSED] = "refused",
	[CB_SERVER_CHECK_CONNECTED] = "connected",
	[CB_SERVER_CHECK_UNANSWERED] = "unanswered",
	[CB_SERVER_CHECK_REPLACED] = "replaced",
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

/* A server process that has fallen silent under attempts, which were left. */
typedef struct silence {
	char *name; /* key in cb_server_ends.silences */
	cb_relay_hop_t server;
	GPtrArray *attempts; /* the oldest first: cb_content_attempt_t */
} silence_t;

struct cb_server_ends {
	cb_clock_t *clock;
	cb_poller_t *poller;
	cb_server_checked_fn_t fn;
	void *user_data;
	GHashTable *checks;   /* "ID/START" to check_t */
	GHashTable *silences; /* "ID/START" to silence_t */
};

static char *process_name_new_(const char *id, int64_t start_wall_ms)
{
	return g_strdup_printf("%s/%" G_GINT64_FORMAT, id, start_wall_ms);
}

/* Returns a copy of a server, whose strings are to be freed. */
static cb_relay_hop_t server_copy_(const cb_relay_hop_t *server)
{
	cb_relay_hop_t copy = *server;

	copy.id = g_strdup(server->id);
	copy.address = g_strdup(server->address);
	return copy;
}

static void server_clear_(cb_relay_hop_t *server)
{
	g_free(server->id);
	g_free(server->address);
}

static void silence_delete_(void *data)
{
	silence_t *silence = data;

	g_ptr_array_unref(silence->attempts);
	server_clear_(&silence->server);
	g_free(silence->name);
	g_free(silence);
}

static void check_delete_(void *data)
{
	check_t *check = data;

	cb_stream_delete(check->stream);
	cb_timer_delete(check->timer);
	g_ptr_array_unref(check->losses);
	server_clear_(&check->server);
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
	ends->silences = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       silence_delete_);
	return ends;
}

/* Drops all checks; NULL is allowed. */
void cb_server_ends_delete(cb_server_ends_t *ends)
{
	if (!ends)
		return;
	g_hash_table_unref(ends->checks);
	g_hash_table_unref(ends->silences);
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
	char *name = process_name_new_(server->id, server->start_wall_ms);
	check_t *check = g_hash_table_lookup(ends->checks, name);

	if (check) {
		g_ptr_array_add(check->losses, loss);
		g_free(name);
		return;
	}
	check = g_new0(check_t, 1);
	check->ends = ends;
	check->name = name;
	check->server = server_copy_(server);
	check->since_ms = cb_clock_now_ms(ends->clock);
	check->state = CB_SERVER_CHECK_UNANSWERED;
	check->losses =
		g_ptr_array_new_with_free_func(cb_content_attempt_delete);
	g_ptr_array_add(check->losses, loss);
	check->timer = cb_timer_new(ends->clock, check_timer_fired_, check);
	g_hash_table_insert(ends->checks, check->name, check);
	check_start_(check);
}

/* Forgets the attempts that were left too long ago; returns whether any is left. */
static gboolean silence_expire_(silence_t *silence, int64_t now_ms)
{
	while (silence->attempts->len) {
		const cb_content_attempt_t *oldest =
			silence->attempts->pdata[0];

		if (now_ms - oldest->lost_ms <= SILENCE_VALID_MS)
			return TRUE;
		g_ptr_array_remove_index(silence->attempts, 0);
	}
	return FALSE;
}

static void silences_expire_(cb_server_ends_t *ends)
{
	int64_t now_ms = cb_clock_now_ms(ends->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ends->silences);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!silence_expire_(value, now_ms))
			g_hash_table_iter_remove(&iter);
}

void cb_server_ends_add_silence(cb_server_ends_t *ends,
				const cb_relay_hop_t *server,
				cb_content_attempt_t *attempt)
{
	char *name = process_name_new_(server->id, server->start_wall_ms);
	silence_t *silence;

	silences_expire_(ends);
	silence = g_hash_table_lookup(ends->silences, name);
	if (silence) {
		g_ptr_array_add(silence->attempts, attempt);
		g_free(name);
		return;
	}
	if (g_hash_table_size(ends->silences) >= SILENCES_MAX) {
		cb_content_attempt_delete(attempt);
		g_free(name);
		return;
	}
	silence = g_new0(silence_t, 1);
	silence->name = name;
	silence->server = server_copy_(server);
	silence->attempts =
		g_ptr_array_new_with_free_func(cb_content_attempt_delete);
	g_ptr_array_add(silence->attempts, attempt);
	g_hash_table_insert(ends->silences, silence->name, silence);
}

void cb_server_ends_hear_process(cb_server_ends_t *ends, const char *address,
				 int64_t start_wall_ms)
{
	GPtrArray *replaced;
	GHashTableIter iter;
	void *value;
	unsigned int i;

	if (!g_hash_table_size(ends->silences))
		return;
	silences_expire_(ends);
	replaced = g_ptr_array_new_with_free_func(silence_delete_);
	g_hash_table_iter_init(&iter, ends->silences);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		silence_t *silence = value;

		if (silence->server.start_wall_ms >= start_wall_ms ||
		    strcmp(silence->server.address, address) != 0)
			continue;
		g_hash_table_iter_steal(&iter);
		g_ptr_array_add(replaced, silence);
	}
	for (i = 0; i < replaced->len; i++) {
		const silence_t *silence = replaced->pdata[i];

		ends->fn(&silence->server, CB_SERVER_CHECK_REPLACED,
			 silence->attempts, ends->user_data);
	}
	g_ptr_array_unref(replaced);
}

void cb_server_ends_forget_silence(cb_server_ends_t *ends, const char *id,
				   int64_t start_wall_ms)
{
	char *name = process_name_new_(id, start_wall_ms);

	g_hash_table_remove(ends->silences, name);
	g_free(name);
}
