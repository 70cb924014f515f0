#include "incident.h"

#include <errno.h>
#include <glib-unix.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_daemons.h"
#include "support_programs.h"
#include "support_sockets.h"

#define TICK_MS 2
#define EPOLL_EVENTS 256
#define READ_BUFFER_BYTES 16384
#define CALL_MS 20
#define FIRST_EVENT_MS 50
#define ENGINE_FIRST_EVENT_MS 150
/* Lengths of random pauses: a Pareto distribution, up to a limit. */
#define PAUSE_MIN_MS 150
#define PAUSE_MAX_MS 1200
#define PAUSE_EXPONENT 1.5
#define HEARTBEAT_THREADS 4
#define HEARTBEAT_TIMEOUT_MS 1000

const incident_accelerator_t incident_accelerators[INCIDENT_ACCELERATORS] = {
	{ "large", 36000, 3.1, 3.2 },
	{ "medium", 21600, 16, 8.2 },
	{ "small", 14400, 15, 15 },
};

typedef struct connection connection_t;

typedef struct server {
	incident_servers_t *servers;
	unsigned int index;
	char *address;
	int listener; /* -1: closed */
	gboolean is_other;
	unsigned int connection_count;
	/* The layers that an engine holds, and those it is to hold. */
	unsigned int from;
	unsigned int to;
	unsigned int next_from;
	unsigned int next_to;
	int64_t loaded_ms; /* when it holds those; 0: no order in progress */
	uint64_t accepted_orders;
	uint64_t fence;
	/* The random pause in progress, or the next one. */
	int64_t pause_begin_ms;
	int64_t pause_end_ms;
} server_t;

/* A connection of an entry or control instance, and what runs on it. */
struct connection {
	server_t *server;
	int fd;
	GString *input;
	GString *output;
	incident_run_t *run; /* NULL: idle */
	unsigned int next_event;
	int64_t due_ms; /* when the next part of the answer is sent */
	/* When the instance's end was seen, though not read; 0: it was not. */
	int64_t closed_ms;
};

struct incident_servers {
	incident_servers_setup_t setup;
	char **control_addresses;
	server_t list[INCIDENT_SERVER_MAX];
	int epoll;
	GHashTable *connections; /* set of connection_t */
	GPtrArray *runs;
	gboolean has_served; /* loads take their whole time */
	int is_listening;    /* atomic */
	int is_accepting;    /* atomic */
	int is_full;	     /* atomic */
	GRand *random;	     /* for the loop's thread only */
	/* By data centre; atomic. */
	int is_stalled[INCIDENT_DATA_CENTRES];
	int is_stopped; /* atomic */
	incident_lag_t lag;
	GMutex lock; /* guards the layers of engines */
	GThread *loop;
	GThread *heartbeats[HEARTBEAT_THREADS];
	unsigned int excess_count;
	unsigned int order_count;
	unsigned int reroute_count;
};

/* The servers whose heartbeats one thread sends. */
typedef struct heartbeats {
	incident_servers_t *servers;
	unsigned int first;
} heartbeats_t;

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

static void run_free_(void *data)
{
	g_free(((incident_run_t *)data)->request_id);
	g_free(data);
}

static const incident_accelerator_t *accelerator_(const server_t *server)
{
	unsigned int draw = server->index / INCIDENT_DATA_CENTRES % 14;

	return &incident_accelerators[draw == 0 ? 0 : draw < 7 ? 1 : 2];
}

/* Appends the layers that an engine holds, as a member of a JSON object. */
static void layers_append_(const server_t *server, GString *text)
{
	if (server->to > server->from)
		g_string_append_printf(
			text,
			",\"layers\":{\"from\":%u,\"to\":%u,\"version\":1}",
			server->from, server->to);
	else
		g_string_append(text, ",\"layers\":null");
	g_string_append_printf(text, ",\"kind\":\"%s\"",
			       accelerator_(server)->name);
}

/* Completes an order whose layers have been loaded. */
static void layers_update_(server_t *server)
{
	if (!server->loaded_ms || now_ms_() < server->loaded_ms)
		return;
	server->from = server->next_from;
	server->to = server->next_to;
	server->loaded_ms = 0;
}

static char *header_read_(const char *request, const char *name)
{
	char *pattern = g_strdup_printf("\r\n%s: ", name);
	const char *start = strcasestr(request, pattern);
	const char *value = start ? start + strlen(pattern) : NULL;

	g_free(pattern);
	return value ? g_strndup(value, strcspn(value, "\r")) : NULL;
}

/* Sends what the connection takes, and keeps the rest. */
static void output_flush_(connection_t *connection)
{
	ssize_t size =
		send(connection->fd, connection->output->str,
		     connection->output->len, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (size > 0)
		g_string_erase(connection->output, 0, size);
}

static void answer_send_(connection_t *connection, const char *status,
			 const char *headers, const char *body)
{
	g_string_append_printf(connection->output,
			       "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s",
			       status, headers, strlen(body), body);
	output_flush_(connection);
}

static uint64_t number_find_(const char *body, const char *member)
{
	char *pattern = g_strdup_printf("\"%s\":", member);
	const char *found = strstr(body, pattern);
	uint64_t value =
		found ? g_ascii_strtoull(found + strlen(pattern), NULL, 10) : 0;

	g_free(pattern);
	return value;
}

static const char *order_refusal_(const server_t *server, const char *body)
{
	if (number_find_(body, "fence") < server->fence)
		return "412 Precondition Failed";
	if (number_find_(body, "expect") != server->accepted_orders ||
	    server->loaded_ms)
		return "409 Conflict";
	return NULL;
}

/* Begins to load the layers of an order; those it drops are gone at once. */
static void order_begin_(server_t *server, const char *body)
{
	incident_servers_t *servers = server->servers;
	unsigned int from = (unsigned int)number_find_(body, "from");
	unsigned int to = (unsigned int)number_find_(body, "to");
	unsigned int kept_from = MAX(from, server->from);
	unsigned int kept_to = MIN(to, server->to);
	unsigned int kept = kept_to > kept_from ? kept_to - kept_from : 0;
	int64_t load_ms = INCIDENT_LOAD_S * 1000 * (int64_t)(to - from - kept) /
			  INCIDENT_LAYERS;

	server->fence = number_find_(body, "fence");
	server->accepted_orders++;
	servers->order_count++;
	server->from = kept ? kept_from : 0;
	server->to = kept ? kept_to : 0;
	server->next_from = from;
	server->next_to = to;
	server->loaded_ms =
		now_ms_() + 1 + load_ms / (servers->has_served ? 1 : 10);
}

/* Returns whether a request of that ID runs at an engine. */
static gboolean runs_here_(const server_t *server, const char *body)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, server->servers->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const connection_t *connection = key;

		if (connection->server == server && connection->run &&
		    strstr(body, connection->run->request_id))
			return TRUE;
	}
	return FALSE;
}

static void order_handle_(connection_t *connection, const char *body)
{
	server_t *server = connection->server;
	const char *refusal;

	if (strstr(body, "\"op\":\"repath\"")) {
		server->servers->reroute_count++;
		answer_send_(connection,
			     runs_here_(server, body) ? "200 OK" :
							"404 Not Found",
			     "", "");
		return;
	}
	refusal = order_refusal_(server, body);
	if (!refusal)
		order_begin_(server, body);
	answer_send_(connection, refusal ? refusal : "202 Accepted", "", "");
}

static void report_send_(connection_t *connection)
{
	const server_t *server = connection->server;
	GString *body = g_string_new(NULL);

	g_string_printf(body,
			"{\"stage\":\"both\",\"models\":[{\"name\":\"m\","
			"\"version\":1,\"adapters\":[]}],\"busy\":%s,"
			"\"sequence\":%" G_GUINT64_FORMAT
			",\"waiting\":0,\"running\":1,\"kvUsed\":0,"
			"\"kvTotal\":8000000,\"handles\":0,\"pace\":1",
			server->loaded_ms ? "true" : "false",
			server->accepted_orders);
	layers_append_(server, body);
	g_string_append_c(body, '}');
	answer_send_(connection, "200 OK", "", body->str);
	g_string_free(body, TRUE);
}

static server_t *server_find_(incident_servers_t *servers, const char *address)
{
	unsigned int i;

	for (i = 0; i < servers->setup.count; i++)
		if (!strcmp(servers->list[i].address, address))
			return &servers->list[i];
	return NULL;
}

/* Returns the address of the first hop that lacks its layers; free it. */
static char *lacking_hop_find_(incident_servers_t *servers, const char *hops)
{
	char **list = g_strsplit(hops, ",", 0);
	char *lacking = NULL;
	unsigned int i;

	for (i = 0; list[i] && !lacking; i++) {
		char **parts = g_strsplit(list[i], "=", 2);
		unsigned int from = 0;
		unsigned int to = 0;
		server_t *server = server_find_(servers, parts[0]);

		if (server)
			layers_update_(server);
		if (parts[1]) {
			char *end;

			from = (unsigned int)strtoul(parts[1], &end, 10);
			to = *end ? (unsigned int)strtoul(end + 1, NULL, 10) :
				    0;
		}
		if (!server || from < server->from || to > server->to)
			lacking = g_strdup(parts[0]);
		g_strfreev(parts);
	}
	g_strfreev(list);
	return lacking;
}

/* Rejects a request whose chain lacks layers; FALSE: it has all. */
static gboolean chain_reject_(connection_t *connection, const char *request)
{
	server_t *server = connection->server;
	char *hops = header_read_(request, "X-Hop-Count");
	char *all =
		g_strdup_printf("%s=0-%d", server->address, INCIDENT_LAYERS);
	char *lacking = lacking_hop_find_(server->servers, hops ? hops : all);

	if (lacking) {
		char *headers = g_strdup_printf(
			"X-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
			"At-Server: %s\r\n",
			connection->run->request_id, lacking);

		answer_send_(connection, "421 Misdirected Request", headers,
			     "");
		g_free(headers);
	}
	g_free(all);
	g_free(hops);
	g_free(lacking);
	return lacking != NULL;
}

/* Turns a request away that a full server has not run. */
static void full_reject_(connection_t *connection)
{
	char *headers =
		g_strdup_printf("X-Request-Id: %s\r\nX-Not-Executed: 1\r\n",
				connection->run->request_id);

	answer_send_(connection, "503 Service Unavailable", headers, "");
	g_free(headers);
}

static void run_end_(connection_t *connection)
{
	connection->run->ended_ms =
		connection->closed_ms ? connection->closed_ms : now_ms_();
	connection->run->due_ms = connection->due_ms;
	connection->run = NULL;
}

/* Returns the time of a stream until its first event; engines read a prompt. */
static int first_event_ms_(const server_t *server)
{
	return server->servers->setup.are_engines && !server->is_other ?
		       ENGINE_FIRST_EVENT_MS :
		       FIRST_EVENT_MS;
}

/* Begins the run of a request. */
static void run_begin_(connection_t *connection, const char *request,
		       const char *id)
{
	server_t *server = connection->server;
	incident_servers_t *servers = server->servers;
	gboolean is_resumable = strstr(request, " /s/") != NULL;
	gboolean is_stream = is_resumable || strstr(request, " /u/");
	char *last_event = header_read_(request, "Last-Event-Id");
	incident_run_t *run = g_new0(incident_run_t, 1);

	run->request_id = g_strdup(id);
	run->is_stream = is_resumable;
	run->is_other = server->is_other;
	run->server = server->index;
	run->arrived_ms = run->progress_ms = now_ms_();
	g_ptr_array_add(servers->runs, run);
	connection->run = run;
	connection->next_event =
		is_stream ?
			(last_event ? (unsigned int)atoi(last_event) + 1 : 1) :
			0;
	connection->due_ms = run->arrived_ms +
			     (is_stream ? first_event_ms_(server) : CALL_MS);
	g_free(last_event);
	if (servers->setup.are_engines && !server->is_other &&
	    chain_reject_(connection, request)) {
		run->is_rejected = TRUE;
		run_end_(connection);
	} else if (!server->is_other && g_atomic_int_get(&servers->is_full)) {
		full_reject_(connection);
		run->is_rejected = TRUE;
		run_end_(connection);
	}
	servers->has_served |= !strstr(id, "start");
}

/* Handles one whole request. */
static void request_handle_(connection_t *connection, const char *request,
			    const char *body)
{
	char *id = header_read_(request, "X-Request-Id");

	layers_update_(connection->server);
	if (g_str_has_prefix(request, "POST /v1/order"))
		order_handle_(connection, body);
	else if (g_str_has_prefix(request, "GET /v1/report"))
		report_send_(connection);
	else if (id)
		run_begin_(connection, request, id);
	else
		answer_send_(connection, "200 OK", "", "");
	g_free(id);
}

/* Returns the size of the first whole request in the input; 0: none yet. */
static size_t request_size_(const GString *input)
{
	const char *end = strstr(input->str, "\r\n\r\n");
	const char *length = strcasestr(input->str, "\r\nContent-Length: ");
	size_t size;

	if (!end)
		return 0;
	size = (size_t)(end + 4 - input->str);
	if (length && length < end)
		size += strtoul(length + strlen("\r\nContent-Length: "), NULL,
				10);
	return input->len >= size ? size : 0;
}

static void connection_free_(void *data)
{
	connection_t *connection = data;

	/* A process that is being started may hold the descriptor for a while. */
	(void)epoll_ctl(connection->server->servers->epoll, EPOLL_CTL_DEL,
			connection->fd, NULL);
	close(connection->fd);
	connection->server->connection_count--;
	g_string_free(connection->input, TRUE);
	g_string_free(connection->output, TRUE);
	g_free(connection);
}

/* Handles that the instance has closed or reset its connection. */
static void connection_end_(connection_t *connection)
{
	incident_servers_t *servers = connection->server->servers;

	if (connection->run) {
		connection->run->was_closed = TRUE;
		run_end_(connection);
	}
	g_hash_table_remove(servers->connections, connection);
}

/* Handles the requests in a connection's input while it is idle. */
static void requests_handle_(connection_t *connection)
{
	size_t size;

	while (!connection->run && (size = request_size_(connection->input))) {
		char *request = g_strndup(connection->input->str, size);
		const char *body = strstr(request, "\r\n\r\n") + 4;

		g_string_erase(connection->input, 0, (gssize)size);
		request_handle_(connection, request, body);
		g_free(request);
	}
}

static gboolean is_stalled_(const server_t *server)
{
	return g_atomic_int_get(
		&server->servers
			 ->is_stalled[server->index % INCIDENT_DATA_CENTRES]);
}

static void connection_read_(connection_t *connection)
{
	char buffer[READ_BUFFER_BYTES];
	ssize_t size;

	if (is_stalled_(connection->server))
		return;
	size = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (size > 0) {
		g_string_append_len(connection->input, buffer, size);
		requests_handle_(connection);
	} else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
		connection_end_(connection);
	}
}

/* Appends a chunk of a stream. */
static void chunk_append_(GString *output, const char *text)
{
	g_string_append_printf(output, "%zx\r\n%s\r\n", strlen(text), text);
}

static void event_send_(connection_t *connection)
{
	const incident_servers_setup_t *setup =
		&connection->server->servers->setup;
	incident_run_t *run = connection->run;
	char *event = g_strdup_printf("id: %u\ndata: %s\n\n",
				      connection->next_event, run->request_id);

	if (!run->has_begun)
		g_string_append_printf(connection->output,
				       "HTTP/1.1 200 OK\r\n"
				       "X-Request-Id: %s\r\n"
				       "X-Server-Seal: s\r\n"
				       "Content-Type: text/event-stream\r\n"
				       "Transfer-Encoding: chunked\r\n\r\n",
				       run->request_id);
	run->has_begun = TRUE;
	if (connection->next_event <= setup->event_count)
		chunk_append_(connection->output, event);
	run->progress_ms = now_ms_();
	if (!run->events)
		run->first_event_ms = run->progress_ms;
	run->event_ms[run->events++ % INCIDENT_EVENT_TIMES] = run->progress_ms;
	connection->due_ms += setup->event_ms;
	if (connection->next_event++ >= setup->event_count) {
		g_string_append(connection->output, "0\r\n\r\n");
		run->is_whole = TRUE;
		run_end_(connection);
	}
	output_flush_(connection);
	g_free(event);
}

/* Sends the next part of a run's answer, which is due. */
static void run_continue_(connection_t *connection)
{
	incident_run_t *run = connection->run;
	char *headers;

	if (connection->next_event) {
		event_send_(connection);
	} else {
		headers = g_strdup_printf(
			"X-Request-Id: %s\r\nX-Server-Seal: s\r\n",
			run->request_id);
		answer_send_(connection, "200 OK", headers, run->request_id);
		run->has_begun = run->is_whole = TRUE;
		run_end_(connection);
		g_free(headers);
	}
	requests_handle_(connection);
}

/* Draws the next pause of a server; most are short, a few long. */
static void pause_draw_(server_t *server, int64_t now_ms)
{
	incident_servers_t *servers = server->servers;
	double wait = -log(1 - g_rand_double(servers->random));
	double length =
		pow(1 - g_rand_double(servers->random), -1 / PAUSE_EXPONENT);

	server->pause_begin_ms =
		now_ms +
		(int64_t)(wait * (double)servers->setup.pause_interval_ms);
	server->pause_end_ms =
		server->pause_begin_ms +
		(int64_t)MIN(length * PAUSE_MIN_MS, (double)PAUSE_MAX_MS);
}

static void pauses_update_(incident_servers_t *servers)
{
	int64_t now_ms = now_ms_();
	unsigned int i;

	for (i = 0;
	     servers->setup.pause_interval_ms && i < servers->setup.count; i++)
		if (now_ms >= servers->list[i].pause_end_ms)
			pause_draw_(&servers->list[i], now_ms);
}

static gboolean is_pausing_(const server_t *server, int64_t now_ms)
{
	return now_ms >= server->pause_begin_ms &&
	       now_ms < server->pause_end_ms;
}

/* Returns whether the instance has closed a connection; its end may be unread. */
static gboolean is_closed_(connection_t *connection)
{
	struct pollfd socket = { .fd = connection->fd, .events = POLLRDHUP };

	if (!connection->closed_ms && poll(&socket, 1, 0) > 0)
		connection->closed_ms = now_ms_();
	return connection->closed_ms != 0;
}

/*
 * Sends what is due.  An event that a late server sends into a closed connection
 * is no progress of its run.
 */
static void runs_continue_(incident_servers_t *servers)
{
	int64_t now_ms = now_ms_();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, servers->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		connection_t *connection = key;
		gboolean is_due =
			connection->run && now_ms >= connection->due_ms;

		/* The end of a run at a stalled server is seen in time too. */
		if (is_due && is_closed_(connection))
			continue;
		if (is_stalled_(connection->server) ||
		    is_pausing_(connection->server, now_ms))
			continue;
		if (connection->output->len)
			output_flush_(connection);
		if (is_due)
			run_continue_(connection);
	}
}

/* Resets a connection that a server has no room for. */
static void connection_reset_(int fd)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void connections_accept_(server_t *server)
{
	incident_servers_t *servers = server->servers;
	int fd;

	while (server->listener >= 0 &&
	       (fd = accept4(server->listener, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
		connection_t *connection;
		struct epoll_event event = { .events = EPOLLIN };
		int on = 1;

		if (servers->setup.max_connections &&
		    server->connection_count >=
			    servers->setup.max_connections) {
			servers->excess_count++;
			connection_reset_(fd);
			continue;
		}
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = g_new0(connection_t, 1);
		connection->server = server;
		connection->fd = fd;
		connection->input = g_string_new(NULL);
		connection->output = g_string_new(NULL);
		server->connection_count++;
		g_hash_table_add(servers->connections, connection);
		event.data.ptr = connection;
		(void)epoll_ctl(servers->epoll, EPOLL_CTL_ADD, fd, &event);
	}
}

static void listener_open_(server_t *server)
{
	server->listener = support_socket_listen(server->address);
	if (server->listener < 0)
		return;
	(void)listen(server->listener, server->servers->setup.backlog);
	(void)g_unix_set_fd_nonblocking(server->listener, TRUE, NULL);
}

/* Opens or closes the listening sockets, and accepts from open ones. */
static void listeners_update_(incident_servers_t *servers)
{
	gboolean is_listening = g_atomic_int_get(&servers->is_listening);
	gboolean is_accepting = g_atomic_int_get(&servers->is_accepting);
	unsigned int i;

	for (i = 0; i < servers->setup.count; i++) {
		server_t *server = &servers->list[i];

		if (!is_listening && server->listener >= 0) {
			close(server->listener);
			server->listener = -1;
		} else if (is_listening && server->listener < 0) {
			listener_open_(server);
		}
		if (is_accepting)
			connections_accept_(server);
	}
}

/* Counts a delay between two rounds of the loop. */
static void lag_count_(incident_servers_t *servers, int64_t lag_ms)
{
	servers->lag.worst_ms = MAX(servers->lag.worst_ms, lag_ms);
	servers->lag.count += lag_ms > INCIDENT_LATE_MS;
}

/* Waits for input; that of stalled servers stays unread. */
static int input_await_(incident_servers_t *servers, struct epoll_event *events)
{
	unsigned int i;

	for (i = 0; i < INCIDENT_DATA_CENTRES; i++) {
		if (!g_atomic_int_get(&servers->is_stalled[i]))
			continue;
		g_usleep(TICK_MS * 1000);
		break;
	}
	return epoll_wait(servers->epoll, events, EPOLL_EVENTS, TICK_MS);
}

static void *loop_run_(void *data)
{
	incident_servers_t *servers = data;
	struct epoll_event events[EPOLL_EVENTS];
	int64_t round_ms = now_ms_();

	while (!g_atomic_int_get(&servers->is_stopped)) {
		int count;
		int i;

		lag_count_(servers, now_ms_() - round_ms);
		round_ms = now_ms_();
		count = input_await_(servers, events);
		g_mutex_lock(&servers->lock);
		for (i = 0; i < count; i++)
			connection_read_(events[i].data.ptr);
		pauses_update_(servers);
		runs_continue_(servers);
		listeners_update_(servers);
		g_mutex_unlock(&servers->lock);
	}
	return NULL;
}

/* Returns the text of a server's heartbeat, to be freed. */
static char *heartbeat_write_(server_t *server, int64_t born_wall_ms,
			      uint64_t sequence)
{
	GString *body = g_string_new(NULL);

	g_string_printf(body,
			"{\"service\":\"%s\",\"address\":\"%s\","
			"\"zone\":\"z%u\",\"version\":\"v1\",\"slots\":192,"
			"\"state\":\"ready\",\"coldRemainingMs\":0,"
			"\"stage\":\"both\",\"models\":[{\"name\":\"m\","
			"\"version\":1,\"adapters\":[]}],"
			"\"born\":%" G_GINT64_FORMAT
			",\"sequence\":%" G_GUINT64_FORMAT,
			server->is_other ? "t" : "s", server->address,
			server->index % INCIDENT_DATA_CENTRES, born_wall_ms,
			sequence);
	if (server->servers->setup.are_engines && !server->is_other) {
		g_mutex_lock(&server->servers->lock);
		layers_update_(server);
		layers_append_(server, body);
		g_mutex_unlock(&server->servers->lock);
	}
	g_string_append_c(body, '}');
	return g_string_free(body, FALSE);
}

/* Calls one control instance; FALSE: it has not answered. */
static gboolean control_call_(const char *address, const char *path,
			      const char *body)
{
	int fd = support_address_connect(address);
	gboolean is_answered = FALSE;
	char *answer;
	char *text;

	if (fd < 0)
		return FALSE;
	support_receive_timeout_set(fd, HEARTBEAT_TIMEOUT_MS);
	text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: c\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       path, strlen(body), body);
	if (support_socket_send(fd, text, strlen(text))) {
		answer = support_answer_read(fd);
		is_answered = support_answer_status(answer) == 200;
		g_free(answer);
	}
	g_free(text);
	close(fd);
	return is_answered;
}

/* Sends a heartbeat to the control instance that last answered, or the next. */
static void heartbeat_send_(server_t *server, const char *body,
			    unsigned int *control)
{
	char **addresses = server->servers->control_addresses;
	char *path =
		g_strdup_printf("/v1/instances/i-%u/heartbeat", server->index);
	unsigned int i;

	for (i = 0; i < 3; i++) {
		if (control_call_(addresses[*control], path, body))
			break;
		*control = (*control + 1) % g_strv_length(addresses);
	}
	g_free(path);
}

static void *heartbeats_run_(void *data)
{
	heartbeats_t *heartbeats = data;
	incident_servers_t *servers = heartbeats->servers;
	int64_t born_wall_ms = g_get_real_time() / 1000;
	unsigned int control =
		heartbeats->first % g_strv_length(servers->control_addresses);
	uint64_t sequence = 0;
	unsigned int i;

	while (!g_atomic_int_get(&servers->is_stopped)) {
		int64_t next_ms = now_ms_() + servers->setup.heartbeat_ms;

		sequence++;
		for (i = heartbeats->first; i < servers->setup.count;
		     i += HEARTBEAT_THREADS) {
			char *body = heartbeat_write_(&servers->list[i],
						      born_wall_ms, sequence);

			heartbeat_send_(&servers->list[i], body, &control);
			g_free(body);
		}
		g_usleep((unsigned long)MAX(next_ms - now_ms_(), 10) * 1000);
	}
	g_free(heartbeats);
	return NULL;
}

static void server_init_(incident_servers_t *servers, unsigned int i)
{
	server_t *server = &servers->list[i];

	server->servers = servers;
	server->index = i;
	server->address =
		g_strdup_printf("127.0.1.%u:%u", i + 1, support_free_port());
	server->is_other =
		i + servers->setup.other_count >= servers->setup.count;
	listener_open_(server);
	g_assert(server->listener >= 0);
}

/* Starts the servers and their heartbeats. */
incident_servers_t *incident_servers_new(const incident_servers_setup_t *setup,
					 char *const *control_addresses)
{
	incident_servers_t *servers = g_new0(incident_servers_t, 1);
	unsigned int i;

	g_assert(setup->count <= INCIDENT_SERVER_MAX);
	servers->setup = *setup;
	servers->control_addresses = g_strdupv((char **)control_addresses);
	servers->is_listening = servers->is_accepting = TRUE;
	servers->random = g_rand_new_with_seed(setup->seed);
	servers->epoll = epoll_create1(EPOLL_CLOEXEC);
	servers->connections =
		g_hash_table_new_full(g_direct_hash, g_direct_equal,
				      connection_free_, NULL);
	servers->runs = g_ptr_array_new_with_free_func(run_free_);
	g_mutex_init(&servers->lock);
	for (i = 0; i < setup->count; i++)
		server_init_(servers, i);
	servers->loop = g_thread_new("servers", loop_run_, servers);
	for (i = 0; i < HEARTBEAT_THREADS; i++) {
		heartbeats_t *heartbeats = g_new(heartbeats_t, 1);

		*heartbeats = (heartbeats_t){ servers, i };
		servers->heartbeats[i] =
			g_thread_new("heartbeats", heartbeats_run_, heartbeats);
	}
	return servers;
}

void incident_servers_set_listening(incident_servers_t *servers,
				    gboolean is_listening)
{
	g_atomic_int_set(&servers->is_listening, is_listening);
}

void incident_servers_set_accepting(incident_servers_t *servers,
				    gboolean is_accepting)
{
	g_atomic_int_set(&servers->is_accepting, is_accepting);
}

void incident_servers_set_full(incident_servers_t *servers, gboolean is_full)
{
	g_atomic_int_set(&servers->is_full, is_full);
}

void incident_servers_set_stalled(incident_servers_t *servers,
				  unsigned int data_centre, gboolean is_stalled)
{
	g_atomic_int_set(&servers->is_stalled[data_centre], is_stalled);
}

incident_lag_t incident_servers_lag(const incident_servers_t *servers)
{
	return servers->lag;
}

GPtrArray *incident_servers_end(incident_servers_t *servers)
{
	unsigned int i;

	g_atomic_int_set(&servers->is_stopped, TRUE);
	g_thread_join(servers->loop);
	for (i = 0; i < HEARTBEAT_THREADS; i++)
		g_thread_join(servers->heartbeats[i]);
	return servers->runs;
}

unsigned int incident_servers_excess(const incident_servers_t *servers)
{
	return servers->excess_count;
}

unsigned int incident_servers_orders(const incident_servers_t *servers)
{
	return servers->order_count;
}

unsigned int incident_servers_reroutes(const incident_servers_t *servers)
{
	return servers->reroute_count;
}

/* Frees the servers, whose threads have ended, and their runs. */
void incident_servers_delete(incident_servers_t *servers)
{
	unsigned int i;

	g_hash_table_unref(servers->connections);
	for (i = 0; i < servers->setup.count; i++) {
		if (servers->list[i].listener >= 0)
			close(servers->list[i].listener);
		g_free(servers->list[i].address);
	}
	close(servers->epoll);
	g_ptr_array_unref(servers->runs);
	g_rand_free(servers->random);
	g_strfreev(servers->control_addresses);
	g_mutex_clear(&servers->lock);
	g_free(servers);
}
