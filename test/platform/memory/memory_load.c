#include "memory.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_daemons.h"
#include "support_programs.h"
#include "support_sockets.h"

#define TICK_MS 20
#define HEARTBEAT_INTERVAL_MS 300
#define EVENTS_MAX 512
#define READ_BUFFER_BYTES 65536
#define TIME_BUDGET_MS 8000
/* Callers come back after this time. */
#define RETURN_MS 300
/* A sound request has no whole answer after this time. */
#define SOUND_MAX_MS 6000
/* Callers that read nothing give up after this time. */
#define UNREAD_MAX_MS 4000
/* Callers that read nothing have a window of this size. */
#define SMALL_WINDOW_BYTES 4096
#define SMALL_BODY_BYTES 2000
#define LARGE_BODY_BYTES (100 * 1024)
#define STREAM_EVENTS 5
#define EVENT_INTERVAL_MS 100
#define KIND_COUNT 3

/* What the bodies of requests consist of. */
static const char upload_text[] =
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

typedef enum peer_role {
	ROLE_LISTENER,
	ROLE_SERVER,
	ROLE_UNREAD_CALLER,
	ROLE_FAULTY_CALLER,
	ROLE_SOUND_CALLER,
} peer_role_t;

/* A listener, a server's connection, or a caller, connected or not. */
typedef struct peer {
	memory_load_t *load;
	peer_role_t role;
	int fd;		    /* -1: not connected */
	gboolean is_faulty; /* of the service "f" */
	GString *input;
	GString *output;
	size_t sent_bytes; /* of `output` */
	/* Servers: whether units follow, or events of a stream. */
	gboolean is_flooding;
	size_t unit_offset;
	unsigned int next_event; /* 0: no stream is sent */
	char *id;		 /* of the request being answered */
	int64_t next_ms; /* when the next event is sent, or the caller calls */
	/* Callers: the kind of request, which for a sound caller varies. */
	unsigned int kind;
	int64_t begun_ms;
	gboolean is_dead; /* freed at the end of the iteration */
} peer_t;

struct memory_load {
	memory_plan_t plan;
	char *control_address;
	char *entry_address;
	int epoll;
	GPtrArray *peers;
	char *addresses[2 * MEMORY_SERVER_COUNT]; /* the faulty ones first */
	GThread *heartbeats;
	int is_stopped; /* atomic */
	unsigned int next_id;
	gboolean starts_requests;
	memory_result_t result;
};

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Sets the epoll events that a peer waits for. */
static void peer_watch_(peer_t *peer, int operation)
{
	struct epoll_event event = { .data.ptr = peer };

	if (peer->role != ROLE_UNREAD_CALLER)
		event.events |= EPOLLIN;
	if (peer->output->len > peer->sent_bytes)
		event.events |= EPOLLOUT;
	(void)epoll_ctl(peer->load->epoll, operation, peer->fd, &event);
}

static peer_t *peer_new_(memory_load_t *load, peer_role_t role, int fd)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->load = load;
	peer->role = role;
	peer->fd = fd;
	peer->input = g_string_new(NULL);
	peer->output = g_string_new(NULL);
	g_ptr_array_add(load->peers, peer);
	if (fd >= 0)
		peer_watch_(peer, EPOLL_CTL_ADD);
	return peer;
}

static void peer_free_(void *data)
{
	peer_t *peer = data;

	if (peer->fd >= 0)
		close(peer->fd);
	g_string_free(peer->input, TRUE);
	g_string_free(peer->output, TRUE);
	g_free(peer->id);
	g_free(peer);
}

/* Closes a peer's connection; a caller calls again after a while. */
static void peer_close_(peer_t *peer)
{
	if (peer->fd >= 0)
		close(peer->fd);
	peer->fd = -1;
	g_string_truncate(peer->input, 0);
	g_string_truncate(peer->output, 0);
	peer->sent_bytes = 0;
	peer->next_ms = now_ms_() + RETURN_MS;
	peer->is_dead = peer->role == ROLE_SERVER;
}

/* Sends what is queued; FALSE: the connection has failed. */
static gboolean output_send_(peer_t *peer)
{
	while (peer->sent_bytes < peer->output->len) {
		ssize_t size =
			send(peer->fd, peer->output->str + peer->sent_bytes,
			     peer->output->len - peer->sent_bytes,
			     MSG_NOSIGNAL | MSG_DONTWAIT);

		if (size < 0 && errno == EINTR)
			continue;
		if (size < 0 && errno != EAGAIN)
			return FALSE;
		if (size < 0)
			break;
		peer->sent_bytes += (size_t)size;
	}
	if (peer->sent_bytes == peer->output->len) {
		g_string_truncate(peer->output, 0);
		peer->sent_bytes = 0;
	}
	peer_watch_(peer, EPOLL_CTL_MOD);
	return TRUE;
}

static char *header_read_(const char *text, const char *name)
{
	char *pattern = g_strdup_printf("\r\n%s: ", name);
	const char *start = strcasestr(text, pattern);
	const char *value = start ? start + strlen(pattern) : NULL;

	g_free(pattern);
	return value ? g_strndup(value, strcspn(value, "\r")) : NULL;
}

/* Appends the body of a sound answer to the request `id`. */
static void sound_body_append_(GString *text, const char *id, size_t size)
{
	size_t end = text->len + size;

	while (text->len < end)
		g_string_append(text, id);
	g_string_truncate(text, end);
}

static size_t sound_body_size_(unsigned int kind)
{
	return kind ? LARGE_BODY_BYTES : SMALL_BODY_BYTES;
}

static void event_append_(GString *text, const char *id, unsigned int event)
{
	g_string_append_printf(text, "id: %u\ndata: %s\n\n", event, id);
}

/* Queues the answer to a request that has arrived at a server. */
static void request_answer_(peer_t *peer)
{
	const memory_way_t *way = &peer->load->plan.way;
	const char *request = peer->input->str;

	g_free(peer->id);
	peer->id = header_read_(request, "X-Request-Id");
	if (!peer->id) {
		g_string_append(peer->output, "HTTP/1.1 200 OK\r\n"
					      "Content-Length: 0\r\n\r\n");
	} else if (peer->is_faulty) {
		peer->is_flooding = way->status_line != NULL;
		if (way->status_line)
			g_string_append_printf(peer->output,
					       "%s\r\nX-Request-Id: %s\r\n"
					       "X-Server-Seal: s\r\n%s",
					       way->status_line, peer->id,
					       way->rest);
	} else if (strstr(request, " /t/")) {
		g_string_append_printf(peer->output,
				       "HTTP/1.1 200 OK\r\n"
				       "X-Request-Id: %s\r\n"
				       "X-Server-Seal: s\r\n"
				       "Content-Type: text/event-stream\r\n"
				       "Transfer-Encoding: chunked\r\n\r\n",
				       peer->id);
		peer->next_event = 1;
		peer->next_ms = now_ms_();
	} else {
		size_t size = sound_body_size_(strstr(request, " /s/1") != 0);

		g_string_append_printf(peer->output,
				       "HTTP/1.1 200 OK\r\n"
				       "X-Request-Id: %s\r\n"
				       "X-Server-Seal: s\r\n"
				       "Content-Length: %zu\r\n\r\n",
				       peer->id, size);
		sound_body_append_(peer->output, peer->id, size);
	}
	g_string_truncate(peer->input, 0);
}

/* Returns whether a whole request is in a server's input. */
static gboolean request_is_whole_(const GString *input)
{
	const char *end = strstr(input->str, "\r\n\r\n");
	char *length = end ? header_read_(input->str, "Content-Length") : NULL;
	size_t size = length ? strtoul(length, NULL, 10) : 0;

	g_free(length);
	return end && input->len >= (size_t)(end + 4 - input->str) + size;
}

/* Sends a server's next event, or some more units. */
static gboolean server_tick_(peer_t *peer, int64_t now_ms)
{
	const char *unit = peer->load->plan.way.unit;

	if (peer->next_event && now_ms >= peer->next_ms) {
		GString *event = g_string_new(NULL);

		event_append_(event, peer->id, peer->next_event);
		g_string_append_printf(peer->output, "%zx\r\n%s\r\n",
				       event->len, event->str);
		g_string_free(event, TRUE);
		peer->next_ms = now_ms + EVENT_INTERVAL_MS;
		if (++peer->next_event > STREAM_EVENTS) {
			g_string_append(peer->output, "0\r\n\r\n");
			peer->next_event = 0;
		}
	}
	if (peer->is_flooding && !peer->output->len) {
		size_t unit_bytes = strlen(unit);
		size_t i;

		for (i = 0; i < peer->load->plan.server_rate_bytes; i++)
			g_string_append_c(
				peer->output,
				unit[(peer->unit_offset + i) % unit_bytes]);
		peer->unit_offset = (peer->unit_offset + i) % unit_bytes;
	}
	return !peer->output->len || output_send_(peer);
}

/* Connects a caller and queues its request. */
static void caller_call_(peer_t *peer)
{
	memory_load_t *load = peer->load;
	gboolean is_sound = peer->role == ROLE_SOUND_CALLER;
	size_t body_bytes =
		peer->role == ROLE_UNREAD_CALLER ? load->plan.upload_bytes : 0;
	const char *colon = strchr(load->entry_address, ':');
	char *ip = g_strndup(load->entry_address, colon - load->entry_address);
	struct sockaddr_in address = { .sin_family = AF_INET };
	int window = SMALL_WINDOW_BYTES;

	address.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	(void)inet_pton(AF_INET, ip, &address.sin_addr);
	g_free(ip);
	peer->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (peer->role == ROLE_UNREAD_CALLER)
		(void)setsockopt(peer->fd, SOL_SOCKET, SO_RCVBUF, &window,
				 sizeof(window));
	(void)fcntl(peer->fd, F_SETFL, O_NONBLOCK);
	if (connect(peer->fd, (struct sockaddr *)&address, sizeof(address)) &&
	    errno != EINPROGRESS) {
		peer_close_(peer);
		return;
	}
	g_free(peer->id);
	peer->id = g_strdup_printf("r%u.", load->next_id++);
	peer->kind = is_sound ? load->next_id % KIND_COUNT : 0;
	peer->begun_ms = now_ms_();
	if (is_sound)
		load->result.sent++;
	g_string_append_printf(
		peer->output,
		"%s %s%u HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n"
		"X-Time-Budget: %d\r\nAuthorization: Bearer key\r\n"
		"Connection: close\r\nContent-Length: %zu\r\n\r\n",
		is_sound ? "GET" : load->plan.way.method,
		is_sound ? (peer->kind == 2 ? "/t/" : "/s/") :
			   load->plan.way.path,
		peer->kind, peer->id, TIME_BUDGET_MS, body_bytes);
	sound_body_append_(peer->output, upload_text, body_bytes);
	peer_watch_(peer, EPOLL_CTL_ADD);
}

/* Returns the data of a chunked body, to be freed; NULL: it has not ended. */
static GString *chunks_join_(const char *body, size_t size)
{
	const char *end = body + size;
	GString *data = g_string_new(NULL);

	while (body < end) {
		char *line_end = NULL;
		size_t chunk_size = strtoul(body, &line_end, 16);

		if (line_end == body ||
		    (size_t)(end - line_end) < chunk_size + 4)
			break;
		if (!chunk_size)
			return data;
		g_string_append_len(data, line_end + 2, (gssize)chunk_size);
		body = line_end + chunk_size + 4;
	}
	g_string_free(data, TRUE);
	return NULL;
}

/* Returns the body of the whole answer that a sound caller is to get. */
static GString *expected_body_new_(const peer_t *peer)
{
	GString *body = g_string_new(NULL);
	unsigned int event;

	if (peer->kind < 2)
		sound_body_append_(body, peer->id,
				   sound_body_size_(peer->kind));
	else
		for (event = 1; event <= STREAM_EVENTS; event++)
			event_append_(body, peer->id, event);
	return body;
}

/* Returns whether a sound caller's answer is whole, byte by byte. */
static gboolean answer_is_whole_(const peer_t *peer)
{
	const GString *input = peer->input;
	const char *body = strstr(input->str, "\r\n\r\n");
	gboolean is_whole = FALSE;
	GString *expected = NULL;
	GString *data = NULL;
	size_t size;
	char *head;

	if (!body || !g_str_has_prefix(input->str, "HTTP/1.1 200"))
		return FALSE;
	body += 4;
	size = input->len - (size_t)(body - input->str);
	head = g_strndup(input->str, body - input->str);
	if (!strstr(head, "\r\nTransfer-Encoding: chunked")) {
		if (size == sound_body_size_(peer->kind))
			data = g_string_new_len(body, (gssize)size);
	} else if (g_str_has_suffix(body, "\r\n0\r\n\r\n")) {
		data = chunks_join_(body, size);
	}
	if (!data)
		goto out;
	expected = expected_body_new_(peer);
	is_whole = g_string_equal(data, expected);
	g_string_free(expected, TRUE);
	g_string_free(data, TRUE);
out:
	g_free(head);
	return is_whole;
}

/* Records how a sound caller's request has ended, and closes its connection. */
static void sound_answer_end_(peer_t *peer)
{
	memory_result_t *result = &peer->load->result;

	if (answer_is_whole_(peer))
		result->whole++;
	else if (g_str_has_prefix(peer->input->str, "HTTP/1.1 503"))
		result->refused++;
	else
		result->broken++;
	peer_close_(peer);
}

/* Ends a peer's connection after the other side has. */
static void peer_end_(peer_t *peer)
{
	if (peer->role == ROLE_SOUND_CALLER) {
		sound_answer_end_(peer);
		return;
	}
	if (peer->role != ROLE_SERVER)
		peer->load->result.faulty_ends++;
	peer_close_(peer);
}

static void input_receive_(peer_t *peer)
{
	static char buffer[READ_BUFFER_BYTES];
	ssize_t size = recv(peer->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (size < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (size <= 0) {
		peer_end_(peer);
		return;
	}
	if (peer->role == ROLE_FAULTY_CALLER)
		return;
	g_string_append_len(peer->input, buffer, size);
	if (peer->role == ROLE_SERVER && request_is_whole_(peer->input)) {
		request_answer_(peer);
		if (!output_send_(peer))
			peer_end_(peer);
	} else if (peer->role == ROLE_SOUND_CALLER && answer_is_whole_(peer)) {
		sound_answer_end_(peer);
	}
}

static void peer_ready_(peer_t *peer, uint32_t events)
{
	if (peer->role == ROLE_LISTENER) {
		int fd = accept4(peer->fd, NULL, NULL,
				 SOCK_CLOEXEC | SOCK_NONBLOCK);
		int on = 1;

		if (fd < 0)
			return;
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		peer_new_(peer->load, ROLE_SERVER, fd)->is_faulty =
			peer->is_faulty;
		return;
	}
	if ((events & EPOLLOUT) && peer->fd >= 0 && !output_send_(peer)) {
		peer_end_(peer);
		return;
	}
	if (peer->role == ROLE_UNREAD_CALLER) {
		if (events & (EPOLLHUP | EPOLLERR))
			peer_end_(peer);
		return;
	}
	if (peer->fd >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		input_receive_(peer);
}

/* Does what is due: calls, events and units; frees closed connections. */
static void peers_tick_(memory_load_t *load)
{
	int64_t now_ms = now_ms_();
	unsigned int i;

	for (i = 0; i < load->peers->len; i++) {
		peer_t *peer = load->peers->pdata[i];

		if (peer->is_dead || peer->role == ROLE_LISTENER)
			continue;
		if (peer->role == ROLE_SERVER) {
			if (!server_tick_(peer, now_ms))
				peer_end_(peer);
		} else if (peer->fd >= 0) {
			if (peer->role == ROLE_SOUND_CALLER &&
			    now_ms - peer->begun_ms > SOUND_MAX_MS)
				sound_answer_end_(peer);
			else if (peer->role == ROLE_UNREAD_CALLER &&
				 now_ms - peer->begun_ms > UNREAD_MAX_MS)
				peer_end_(peer);
		} else if (load->starts_requests && now_ms >= peer->next_ms) {
			caller_call_(peer);
		}
	}
	for (i = load->peers->len; i-- > 0;) {
		peer_t *peer = load->peers->pdata[i];

		if (peer->is_dead)
			g_ptr_array_remove_index_fast(load->peers, i);
	}
}

/* Serves all sockets for some time. */
void memory_load_serve(memory_load_t *load, int64_t time_ms)
{
	struct epoll_event events[EVENTS_MAX];
	int64_t end_ms = now_ms_() + time_ms;
	int64_t tick_ms = 0;

	while (now_ms_() < end_ms) {
		int count = epoll_wait(load->epoll, events, EVENTS_MAX, 5);
		int i;

		for (i = 0; i < count; i++) {
			peer_t *peer = events[i].data.ptr;

			if (!peer->is_dead)
				peer_ready_(peer, events[i].events);
		}
		if (now_ms_() - tick_ms < TICK_MS)
			continue;
		tick_ms = now_ms_();
		peers_tick_(load);
	}
}

/* Sends all servers' heartbeats until they are stopped. */
static void *heartbeats_send_(void *data)
{
	memory_load_t *load = data;
	int64_t born_wall_ms = g_get_real_time() / 1000;
	uint64_t sequence = 0;
	unsigned int i;

	while (!g_atomic_int_get(&load->is_stopped)) {
		sequence++;
		for (i = 0; i < 2 * MEMORY_SERVER_COUNT; i++) {
			char *path =
				g_strdup_printf("/v1/instances/i-%u/heartbeat",
						i);
			char *body = g_strdup_printf(
				"{\"service\":\"%s\",\"address\":\"%s\","
				"\"zone\":\"z\",\"version\":\"v1\","
				"\"slots\":1000,\"state\":\"ready\","
				"\"coldRemainingMs\":0,"
				"\"born\":%" G_GINT64_FORMAT
				",\"sequence\":%" G_GUINT64_FORMAT "}",
				i < MEMORY_SERVER_COUNT ? "f" : "s",
				load->addresses[i], born_wall_ms, sequence);

			(void)support_api_call_status(load->control_address,
						      "POST", path, body);
			g_free(body);
			g_free(path);
		}
		g_usleep(HEARTBEAT_INTERVAL_MS * 1000);
	}
	return NULL;
}

memory_load_t *memory_load_new(const char *control_address,
			       const memory_plan_t *plan)
{
	memory_load_t *load = g_new0(memory_load_t, 1);
	unsigned int i;

	load->plan = *plan;
	load->control_address = g_strdup(control_address);
	load->epoll = epoll_create1(EPOLL_CLOEXEC);
	load->peers = g_ptr_array_new_with_free_func(peer_free_);
	for (i = 0; i < 2 * MEMORY_SERVER_COUNT; i++) {
		int fd;

		load->addresses[i] = g_strdup_printf("127.0.0.%u:%u", i + 40,
						     support_free_port());
		fd = support_socket_listen(load->addresses[i]);
		g_assert(fd >= 0);
		(void)fcntl(fd, F_SETFL, O_NONBLOCK);
		peer_new_(load, ROLE_LISTENER, fd)->is_faulty =
			i < MEMORY_SERVER_COUNT;
	}
	load->heartbeats = g_thread_new("heartbeats", heartbeats_send_, load);
	return load;
}

static void callers_add_(memory_load_t *load, peer_role_t role,
			 unsigned int count)
{
	unsigned int i;

	/* They begin one after the other, within a second. */
	for (i = 0; i < count; i++)
		peer_new_(load, role, -1)->next_ms =
			now_ms_() + 1000 * i / count;
}

memory_result_t memory_load_play(memory_load_t *load, const char *entry_address)
{
	load->entry_address = g_strdup(entry_address);
	callers_add_(load, ROLE_UNREAD_CALLER, load->plan.unread_callers);
	callers_add_(load, ROLE_FAULTY_CALLER, load->plan.faulty_callers);
	callers_add_(load, ROLE_SOUND_CALLER, load->plan.sound_callers);
	load->starts_requests = TRUE;
	memory_load_serve(load, load->plan.play_ms);
	load->starts_requests = FALSE;
	/* Sound requests under way end. */
	memory_load_serve(load, EVENT_INTERVAL_MS * STREAM_EVENTS * 3);
	return load->result;
}

void memory_load_delete(memory_load_t *load)
{
	unsigned int i;

	g_atomic_int_set(&load->is_stopped, TRUE);
	g_thread_join(load->heartbeats);
	g_ptr_array_unref(load->peers);
	close(load->epoll);
	for (i = 0; i < 2 * MEMORY_SERVER_COUNT; i++)
		g_free(load->addresses[i]);
	g_free(load->control_address);
	g_free(load->entry_address);
	g_free(load);
}
