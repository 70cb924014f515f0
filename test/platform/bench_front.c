#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantbridge/program.h"
#include "support_sockets.h"

/*
 * The two ends of a relay of event streams, each a process of its own with a
 * thread a connection: "source" answers every POST with events at an even
 * rate, "client" opens streams one after another and counts their events.
 */
#define EVENT_BYTES 120
#define PIECE_BYTES 65536
#define HEAD_MAX_BYTES 16384

typedef struct options {
	char *address;
	char *path;
	int64_t events;	  /* of one stream */
	int64_t event_ms; /* between two events */
	int64_t streams;  /* at once */
	int64_t seconds;
} options_t;

static options_t options = { .events = 77,
			     .event_ms = 30,
			     .streams = 50,
			     .seconds = 10 };
static int64_t received; /* events, by all threads */
static int64_t failures; /* streams that ended early */
static gboolean is_over;

/* Reads one request without a body; FALSE at the end of the connection. */
static gboolean request_read_(int fd, char *head)
{
	size_t size = 0;

	while (size < HEAD_MAX_BYTES) {
		ssize_t part = recv(fd, head + size, HEAD_MAX_BYTES - size, 0);

		if (part <= 0)
			return FALSE;
		size += (size_t)part;
		head[size] = '\0';
		if (strstr(head, "\r\n\r\n"))
			return TRUE;
	}
	return FALSE;
}

/* Writes one stream: each event is a chunk of its own. */
static gboolean stream_write_(int fd, const char *head)
{
	static const char mark[] = "X-Request-Id: ";
	const char *id = strstr(head, mark);
	int id_size = id ? (int)strcspn(id + strlen(mark), "\r") : 0;
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "X-Request-Id: %.*s\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
				     id_size, id ? id + strlen(mark) : "");
	gboolean is_sent = support_socket_send(fd, text, strlen(text));
	int64_t i;

	g_free(text);
	for (i = 0; is_sent && i < options.events; i++) {
		char event[EVENT_BYTES + 64];

		g_usleep((gulong)options.event_ms * 1000);
		snprintf(event, sizeof(event),
			 "%x\r\nid: %06d\ndata: %0*d\n\n\r\n", EVENT_BYTES,
			 (int)i, EVENT_BYTES - 19, 7);
		is_sent = support_socket_send(fd, event, strlen(event));
	}
	return is_sent && support_socket_send(fd, "0\r\n\r\n", 5);
}

static void *source_serve_(void *data)
{
	char *head = g_malloc(HEAD_MAX_BYTES + 1);
	int fd = GPOINTER_TO_INT(data);

	while (request_read_(fd, head) && stream_write_(fd, head))
		;
	close(fd);
	g_free(head);
	return NULL;
}

static int source_run_(void)
{
	int listener = support_socket_listen(options.address);
	int on = 1;
	int fd;

	if (listener < 0) {
		perror(options.address);
		return CB_EXIT_FAILURE;
	}
	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		g_thread_unref(g_thread_new("stream", source_serve_,
					    GINT_TO_POINTER(fd)));
	}
	return CB_EXIT_OK;
}

/* Counts the events of one answer until its last chunk; FALSE: it broke. */
static gboolean answer_read_(int fd)
{
	char *piece = g_malloc(PIECE_BYTES + 1);
	gboolean is_whole = FALSE;
	ssize_t size;

	while (!is_whole && (size = recv(fd, piece, PIECE_BYTES, 0)) > 0) {
		const char *at = piece;

		piece[size] = '\0';
		while ((at = strstr(at, "id: "))) {
			g_atomic_pointer_add(&received, 1);
			at++;
		}
		is_whole = g_str_has_suffix(piece, "0\r\n\r\n");
	}
	g_free(piece);
	return is_whole;
}

static void *client_stream_(void *data)
{
	char *request = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %p\r\n"
		"Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n",
		options.path, data);

	while (!g_atomic_int_get(&is_over)) {
		int fd = support_socket_connect(options.address);
		gboolean is_whole =
			fd >= 0 &&
			support_socket_send(fd, request, strlen(request)) &&
			answer_read_(fd);

		if (fd >= 0)
			close(fd);
		if (!is_whole && !g_atomic_int_get(&is_over)) {
			g_atomic_pointer_add(&failures, 1);
			g_usleep(100 * 1000);
		}
	}
	g_free(request);
	return NULL;
}

/* Opens the streams, spread over one stream's time, and counts a while. */
static int client_run_(void)
{
	int64_t spread_us = options.events * options.event_ms * 1000;
	int64_t before;
	int64_t i;

	for (i = 0; i < options.streams; i++) {
		g_thread_unref(g_thread_new("stream", client_stream_,
					    GINT_TO_POINTER((int)i + 1)));
		g_usleep((gulong)(spread_us / options.streams));
	}
	printf("warm\n");
	fflush(stdout);
	before = received;
	g_usleep((gulong)options.seconds * G_USEC_PER_SEC);
	printf("%" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n", received - before,
	       failures);
	return CB_EXIT_OK;
}

int main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING, &options.address,
		  "Listen there, or connect", "IP:PORT" },
		{ "path", 0, 0, G_OPTION_ARG_STRING, &options.path,
		  "What to ask for", "PATH" },
		{ "events", 0, 0, G_OPTION_ARG_INT64, &options.events,
		  "Events a stream", "N" },
		{ "event-ms", 0, 0, G_OPTION_ARG_INT64, &options.event_ms,
		  "Time between two events", "MS" },
		{ "streams", 0, 0, G_OPTION_ARG_INT64, &options.streams,
		  "Streams at once", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT64, &options.seconds,
		  "How long to count", "S" },
		G_OPTION_ENTRY_NULL
	};
	int exit_code;

	if (!cb_program_parse(&argc, &argv, "source|client",
			      "The two ends of a relay of events.", entries,
			      &exit_code))
		return exit_code;
	if (argc != 2 || !options.address)
		return CB_EXIT_USAGE;
	return strcmp(argv[1], "source") ? client_run_() : source_run_();
}
