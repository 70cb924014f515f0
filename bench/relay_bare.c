#include "relay.h"

#include <string.h>

#include "currantbridge/program.h"

/*
 * The least that a relay with libsoup does: it passes the bytes of the
 * engine's answer on as they come, with libsoup's own sockets, and neither
 * reads nor checks them.
 */
#define BUFFER_BYTES 8192

typedef struct bare {
	SoupServer *server;
	SoupSession *session;
	char *listen;
	char **sources;
	unsigned int next;
} bare_t;

typedef struct relayed {
	SoupServerMessage *message;
	GInputStream *stream;
	GCancellable *cancellable;
	char buffer[BUFFER_BYTES];
} relayed_t;

static void relayed_free_(relayed_t *relayed)
{
	g_clear_object(&relayed->stream);
	g_object_unref(relayed->message);
	g_object_unref(relayed->cancellable);
	g_free(relayed);
}

static void read_more_(relayed_t *relayed);

static void received_(GObject *stream, GAsyncResult *result, void *user_data)
{
	relayed_t *relayed = user_data;
	SoupMessageBody *body;
	gssize count = g_input_stream_read_finish(G_INPUT_STREAM(stream),
						  result, NULL);

	if (g_cancellable_is_cancelled(relayed->cancellable)) {
		relayed_free_(relayed);
		return;
	}
	body = soup_server_message_get_response_body(relayed->message);
	if (count > 0)
		soup_message_body_append(body, SOUP_MEMORY_COPY,
					 relayed->buffer, (size_t)count);
	else
		soup_message_body_complete(body);
	soup_server_message_unpause(relayed->message);
	if (count > 0)
		read_more_(relayed);
	else
		relayed_free_(relayed);
}

static void read_more_(relayed_t *relayed)
{
	g_input_stream_read_async(relayed->stream, relayed->buffer,
				  BUFFER_BYTES, G_PRIORITY_DEFAULT,
				  relayed->cancellable, received_, relayed);
}

static void begun_(GObject *session, GAsyncResult *result, void *user_data)
{
	relayed_t *relayed = user_data;

	relayed->stream =
		soup_session_send_finish(SOUP_SESSION(session), result, NULL);
	if (!relayed->stream ||
	    g_cancellable_is_cancelled(relayed->cancellable)) {
		relayed_free_(relayed);
		return;
	}
	read_more_(relayed);
}

static void gone_(SoupServerMessage *message, void *user_data)
{
	(void)message;
	g_cancellable_cancel(user_data);
}

static void handle_(SoupServer *soup, SoupServerMessage *message,
		    const char *path, GHashTable *query, void *user_data)
{
	bare_t *bare = user_data;
	relayed_t *relayed = g_new0(relayed_t, 1);
	unsigned int source = bare->next++ % g_strv_length(bare->sources);
	char *uri = g_strdup_printf("http://%s/engine/stream",
				    bare->sources[source]);
	SoupMessage *order = soup_message_new("POST", uri);
	static const char text[] = "{\"request\":\"r\",\"epoch\":1,"
				   "\"max_tokens\":1000000}";
	GBytes *bytes = g_bytes_new_static(text, strlen(text));

	(void)soup;
	(void)path;
	(void)query;
	relayed->message = g_object_ref(message);
	relayed->cancellable = g_cancellable_new();
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(
						 message),
					 FALSE);
	g_signal_connect_data(message, "finished", G_CALLBACK(gone_),
			      g_object_ref(relayed->cancellable),
			      (GClosureNotify)(void (*)(void))g_object_unref,
			      0);
	soup_server_message_pause(message);
	soup_message_set_request_body_from_bytes(order, "application/json",
						 bytes);
	soup_session_send_async(bare->session, order, G_PRIORITY_DEFAULT,
				relayed->cancellable, begun_, relayed);
	g_bytes_unref(bytes);
	g_object_unref(order);
	g_free(uri);
}

/* Runs the bare relay until it is stopped. */
int relay_bare_main(int argc, char **argv)
{
	bare_t bare = { 0 };
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &bare.listen, "Address",
		  "" },
		{ "source", 0, 0, G_OPTION_ARG_STRING_ARRAY, &bare.sources,
		  "Source of tokens", "" },
		G_OPTION_ENTRY_NULL
	};
	relay_process_t process;
	GSocketAddress *address;
	char **parts;
	int exit_code;

	if (!cb_program_parse(&argc, &argv, NULL, "A bare relay.", entries,
			      &exit_code))
		return exit_code;
	relay_process_init(&process);
	bare.session = soup_session_new_with_options("max-conns", 65536,
						     "max-conns-per-host",
						     65536, NULL);
	bare.server = soup_server_new(NULL, NULL);
	soup_server_add_handler(bare.server, NULL, handle_, &bare, NULL);
	parts = g_strsplit(bare.listen, ":", 2);
	address = g_inet_socket_address_new_from_string(
		parts[0], (unsigned int)g_ascii_strtoull(parts[1], NULL, 10));
	g_strfreev(parts);
	if (!soup_server_listen(bare.server, address, 0, NULL))
		return CB_EXIT_FAILURE;
	return relay_process_run(&process);
}
