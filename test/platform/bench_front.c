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
 * Load generator for the relay of event streams, run as two processes with one
 * thread per connection: "source" answers every POST with a stream of events at
 * a constant rate, "client" opens streams and counts their events.  Each client
 * thread opens its streams one after another.
 */
#define EVENT_BYTES 120
#define READ_BUFFER_BYTES 65536
#define MAX_HEAD_BYTES 16384

typedef struct options {
	char *address;
	char *path;
	int64_t events;	  /* number of events per stream */
	int64_t event_ms; /* interval between two events */
	int64_t streams;  /* number of concurrent streams */
	int64_t seconds;  /* how long the client counts events */
} options_t;

static options_t options = { .events = 77,
			     .event_ms = 30,
			     .streams = 50,
			     .seconds = 10 };
static int64_t received_events; /* counted by all client threads */
static int64_t failed_streams;	/* streams that ended before their last chunk */
static gboolean is_finished;

/* Reads one request without a body; FALSE when the connection is closed. */
static gboolean request_head_read_(int fd, char *head)
{
	size_t size = 0;

	while (size < MAX_HEAD_BYTES) {
		ssize_t count = recv(fd, head + size, MAX_HEAD_BYTES - size, 0);

		if (count <= 0)
			return FALSE;
		size += (size_t)count;
		head[size] = '\0';
		if (strstr(head, "\r\n\r\n"))
			return TRUE;
	}
	return FALSE;
}

/* Writes one stream with each event in its own chunk; FALSE on failure. */
static gboolean stream_write_(int fd, const char *head)
{
	static const char id_header[] = "X-Request-Id: ";
	const char *id = strstr(head, id_header);
	int id_size = id ? (int)strcspn(id + strlen(id_header), "\r") : 0;
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "X-Request-Id: %.*s\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
				     id_size, id ? id + strlen(id_header) : "");
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

static void *source_connection_serve_(void *data)
{
	char *head = g_malloc(MAX_HEAD_BYTES + 1);
	int fd = GPOINTER_TO_INT(data);

	while (request_head_read_(fd, head) && stream_write_(fd, head))
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
		g_thread_unref(g_thread_new("stream", source_connection_serve_,
					    GINT_TO_POINTER(fd)));
	}
	return CB_EXIT_OK;
}

/* Counts the events of one answer; FALSE if it ends before its last chunk. */
static gboolean answer_events_count_(int fd)
{
	char *buffer = g_malloc(READ_BUFFER_BYTES + 1);
	gboolean is_complete = FALSE;
	ssize_t size;

	while (!is_complete &&
	       (size = recv(fd, buffer, READ_BUFFER_BYTES, 0)) > 0) {
		const char *event = buffer;

		buffer[size] = '\0';
		while ((event = strstr(event, "id: "))) {
			g_atomic_pointer_add(&received_events, 1);
			event++;
		}
		is_complete = g_str_has_suffix(buffer, "0\r\n\r\n");
	}
	g_free(buffer);
	return is_complete;
}

static void *client_streams_open_(void *data)
{
	char *request = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %p\r\n"
		"Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n",
		options.path, data);

	while (!g_atomic_int_get(&is_finished)) {
		int fd = support_socket_connect(options.address);
		gboolean is_complete =
			fd >= 0 &&
			support_socket_send(fd, request, strlen(request)) &&
			answer_events_count_(fd);

		if (fd >= 0)
			close(fd);
		if (!is_complete && !g_atomic_int_get(&is_finished)) {
			g_atomic_pointer_add(&failed_streams, 1);
			g_usleep(100 * 1000);
		}
	}
	g_free(request);
	return NULL;
}

/* Starts the streams spread over one stream's duration, then measures. */
static int client_run_(void)
{
	int64_t spread_us = options.events * options.event_ms * 1000;
	int64_t received_before;
	int64_t i;

	for (i = 0; i < options.streams; i++) {
		g_thread_unref(g_thread_new("stream", client_streams_open_,
					    GINT_TO_POINTER((int)i + 1)));
		g_usleep((gulong)(spread_us / options.streams));
	}
	printf("warm\n");
	fflush(stdout);
	received_before = received_events;
	g_usleep((gulong)options.seconds * G_USEC_PER_SEC);
	printf("%" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n",
	       received_events - received_before, failed_streams);
	return CB_EXIT_OK;
}

int main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING, &options.address,
		  "Address to listen on or to connect to", "IP:PORT" },
		{ "path", 0, 0, G_OPTION_ARG_STRING, &options.path,
		  "Path to request", "PATH" },
		{ "events", 0, 0, G_OPTION_ARG_INT64, &options.events,
		  "Events per stream", "N" },
		{ "event-ms", 0, 0, G_OPTION_ARG_INT64, &options.event_ms,
		  "Time between two events", "MS" },
		{ "streams", 0, 0, G_OPTION_ARG_INT64, &options.streams,
		  "Concurrent streams", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT64, &options.seconds,
		  "How long to count events", "S" },
		G_OPTION_ENTRY_NULL
	};
	int exit_code;

	if (!cb_program_parse(&argc, &argv, "source|client",
			      "Source and client of event streams.", entries,
			      &exit_code))
		return exit_code;
	if (argc != 2 || !options.address)
		return CB_EXIT_USAGE;
	return strcmp(argv[1], "source") ? client_run_() : source_run_();
}
