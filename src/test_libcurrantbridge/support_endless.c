#include "support_endless.h"

#include <malloc.h>
#include <string.h>

#define CHUNKED_REST "Transfer-Encoding: chunked\r\n\r\n"
#define TEXT_16 "aaaaaaaaaaaaaaaa"
#define TEXT_256                                                        \
	TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 \
		TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 TEXT_16 \
			TEXT_16
#define TEXT_4096                                                              \
	TEXT_256 TEXT_256 TEXT_256 TEXT_256 TEXT_256 TEXT_256 TEXT_256         \
		TEXT_256 TEXT_256 TEXT_256 TEXT_256 TEXT_256 TEXT_256 TEXT_256 \
			TEXT_256 TEXT_256

const endless_way_t support_endless_ways[ENDLESS_WAY_COUNT] = {
	{ "bytes that are no head", ENDLESS_HEAD, FALSE, "", TEXT_16 },
	{ "status line", ENDLESS_HEAD, FALSE, "HTTP/1.1 200 ", TEXT_16 },
	{ "header line", ENDLESS_HEAD, TRUE, "X: ", TEXT_16 },
	{ "header lines", ENDLESS_HEAD, TRUE, "", "X: a\r\n" },
	{ "interim answers", ENDLESS_HEAD, FALSE, "",
	  "HTTP/1.1 100 Continue\r\n\r\n" },
	{ "interim answers with large heads", ENDLESS_HEAD, FALSE, "",
	  "HTTP/1.1 103 Early Hints\r\nLink: " TEXT_4096 "\r\n\r\n" },
	{ "line of a chunk's length", ENDLESS_FRAMING, TRUE, CHUNKED_REST,
	  "0000000000000000" },
	{ "chunk extension", ENDLESS_FRAMING, TRUE,
	  CHUNKED_REST "5;x=", TEXT_16 },
	{ "a long extension of each chunk", ENDLESS_FRAMING, TRUE, CHUNKED_REST,
	  "1;x=" TEXT_256 TEXT_256 TEXT_256 "\r\na\r\n" },
	{ "trailer line", ENDLESS_TRAILERS, TRUE,
	  CHUNKED_REST "0\r\nX: ", TEXT_16 },
	{ "trailer lines", ENDLESS_TRAILERS, TRUE, CHUNKED_REST "0\r\n",
	  "X: a\r\n" },
	{ "body in chunks", ENDLESS_BODY, TRUE, CHUNKED_REST,
	  "1000\r\n" TEXT_4096 "\r\n" },
	{ "body in small chunks", ENDLESS_BODY, TRUE, CHUNKED_REST,
	  "10\r\n" TEXT_16 "\r\n" },
	{ "body until the close", ENDLESS_BODY, TRUE, "\r\n", TEXT_16 },
	{ "body of a large length", ENDLESS_BODY, TRUE,
	  "Content-Length: 999999999999999\r\n\r\n", TEXT_16 },
};

struct endless_sender {
	cb_stream_t *stream;
	const char *unit;
	size_t unit_bytes;
	size_t offset_bytes; /* within the unit, of the next byte */
	size_t piece_bytes;
	uint64_t *sent_bytes;
	unsigned int source;
};

char *support_endless_begin(const endless_way_t *way, const char *status_line,
			    const char *headers)
{
	if (!way->has_head)
		return g_strdup(way->rest);
	return g_strconcat(status_line, headers, way->rest, NULL);
}

/* Sends one more piece, unless the peer has not read the last one. */
static gboolean piece_send_(void *user_data)
{
	endless_sender_t *sender = user_data;
	char piece[ENDLESS_FLOOD_BYTES];
	size_t i;

	if (cb_stream_unsent_bytes(sender->stream))
		return G_SOURCE_CONTINUE;
	for (i = 0; i < sender->piece_bytes; i++)
		piece[i] = sender->unit[(sender->offset_bytes + i) %
					sender->unit_bytes];
	sender->offset_bytes = (sender->offset_bytes + sender->piece_bytes) %
			       sender->unit_bytes;
	cb_stream_send(sender->stream, piece, sender->piece_bytes);
	*sender->sent_bytes += sender->piece_bytes;
	return G_SOURCE_CONTINUE;
}

endless_sender_t *support_endless_sender_new(cb_stream_t *stream,
					     const char *unit,
					     size_t piece_bytes,
					     uint64_t *sent_bytes)
{
	endless_sender_t *sender = g_new0(endless_sender_t, 1);

	g_assert(piece_bytes <= ENDLESS_FLOOD_BYTES);
	sender->stream = stream;
	sender->unit = unit;
	sender->unit_bytes = strlen(unit);
	sender->piece_bytes = piece_bytes;
	sender->sent_bytes = sent_bytes;
	/* Runs when no socket is ready: the peer has read all pieces so far. */
	sender->source = g_idle_add(piece_send_, sender);
	return sender;
}

void support_endless_sender_delete(endless_sender_t *sender)
{
	if (!sender)
		return;
	g_source_remove(sender->source);
	g_free(sender);
}

/* A connection of the server; its stream is NULL once it was closed. */
typedef struct connection {
	endless_server_t *server;
	cb_stream_t *stream;
	GString *received;
	endless_sender_t *sender;
} connection_t;

static void connection_close_(connection_t *connection)
{
	g_clear_pointer(&connection->sender, support_endless_sender_delete);
	g_clear_pointer(&connection->stream, cb_stream_delete);
}

static void connection_free_(void *data)
{
	connection_t *connection = data;

	connection_close_(connection);
	g_string_free(connection->received, TRUE);
	g_free(connection);
}

static void request_receive_(void *user_data, const uint8_t *data, size_t size)
{
	connection_t *connection = user_data;
	endless_server_t *server = connection->server;

	g_string_append_len(connection->received, (const char *)data,
			    (gssize)size);
	if (connection->sender ||
	    !strstr(connection->received->str, "\r\n\r\n"))
		return;
	cb_stream_send(connection->stream, server->begin,
		       strlen(server->begin));
	connection->sender =
		support_endless_sender_new(connection->stream, server->unit,
					   server->piece_bytes,
					   &server->sent_bytes);
}

static void connection_end_handle_(void *user_data, cb_stream_end_t end)
{
	connection_t *connection = user_data;

	(void)end;
	connection->server->closed_count++;
	connection_close_(connection);
}

static const cb_stream_handler_t connection_handler = {
	.received = request_receive_,
	.ended = connection_end_handle_,
};

static void connection_accept_(int fd, void *user_data)
{
	endless_server_t *server = user_data;
	connection_t *connection = g_new0(connection_t, 1);

	connection->server = server;
	connection->received = g_string_new(NULL);
	connection->stream = cb_stream_new(server->poller, fd,
					   &connection_handler, connection);
	server->connection_count++;
	g_ptr_array_add(server->connections, connection);
}

void support_endless_server_init(endless_server_t *server, char *begin,
				 const char *unit, size_t piece_bytes)
{
	*server = (endless_server_t){ .begin = begin,
				      .unit = unit,
				      .piece_bytes = piece_bytes };
	server->poller = cb_poller_new(NULL);
	server->connections = g_ptr_array_new_with_free_func(connection_free_);
	server->listener = cb_stream_listen(server->poller, "127.0.0.1:0",
					    connection_accept_, server, NULL);
	g_assert(server->listener);
	server->address =
		g_strdup_printf("127.0.0.1:%u",
				cb_stream_listener_port(server->listener));
}

void support_endless_server_clear(endless_server_t *server)
{
	cb_stream_unlisten(server->listener);
	g_ptr_array_unref(server->connections);
	cb_poller_delete(server->poller);
	g_free(server->address);
	g_free(server->begin);
}

size_t support_endless_heap_bytes(void)
{
	const struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}
