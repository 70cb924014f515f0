#include "relay.h"

#include <string.h>

#include "currantbridge/program.h"

/*
 * The baseline: a minimal relay with libsoup's own sockets.  It forwards the
 * bytes of the engine's answer as they arrive, without parsing or checking.
 */
#define BUFFER_BYTES 8192

typedef struct baseline_relay {
	SoupServer *server;
	SoupSession *session;
	char *listen;
	char **sources; /* addresses of the sources, used in turn */
	unsigned int request_count;
} baseline_relay_t;

typedef struct exchange {
	SoupServerMessage *message; /* the client's request and its answer */
	GInputStream *stream;	    /* body of the source's answer */
	GCancellable *cancellable;  /* cancelled when `message` ends */
	char buffer[BUFFER_BYTES];
} exchange_t;

static void exchange_free_(exchange_t *exchange)
{
	g_clear_object(&exchange->stream);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_free(exchange);
}

static void chunk_read_(exchange_t *exchange);

static void chunk_handle_read_(GObject *stream, GAsyncResult *result,
			       void *user_data)
{
	exchange_t *exchange = user_data;
	SoupMessageBody *body;
	gssize count = g_input_stream_read_finish(G_INPUT_STREAM(stream),
						  result, NULL);

	if (g_cancellable_is_cancelled(exchange->cancellable)) {
		exchange_free_(exchange);
		return;
	}
	body = soup_server_message_get_response_body(exchange->message);
	if (count > 0)
		soup_message_body_append(body, SOUP_MEMORY_COPY,
					 exchange->buffer, (size_t)count);
	else
		soup_message_body_complete(body);
	soup_server_message_unpause(exchange->message);
	if (count > 0)
		chunk_read_(exchange);
	else
		exchange_free_(exchange);
}

static void chunk_read_(exchange_t *exchange)
{
	g_input_stream_read_async(exchange->stream, exchange->buffer,
				  BUFFER_BYTES, G_PRIORITY_DEFAULT,
				  exchange->cancellable, chunk_handle_read_,
				  exchange);
}

static void response_handle_start_(GObject *session, GAsyncResult *result,
				   void *user_data)
{
	exchange_t *exchange = user_data;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(session), result, NULL);
	if (!exchange->stream ||
	    g_cancellable_is_cancelled(exchange->cancellable)) {
		exchange_free_(exchange);
		return;
	}
	chunk_read_(exchange);
}

static void client_handle_disconnect_(SoupServerMessage *message,
				      void *user_data)
{
	(void)message;
	g_cancellable_cancel(user_data);
}

static void request_handle_(SoupServer *soup, SoupServerMessage *message,
			    const char *path, GHashTable *query,
			    void *user_data)
{
	baseline_relay_t *relay = user_data;
	exchange_t *exchange = g_new0(exchange_t, 1);
	unsigned int source_index =
		relay->request_count++ % g_strv_length(relay->sources);
	char *uri = g_strdup_printf("http://%s/engine/stream",
				    relay->sources[source_index]);
	SoupMessage *source_request = soup_message_new("POST", uri);
	static const char text[] = "{\"request\":\"r\",\"epoch\":1,"
				   "\"max_tokens\":1000000}";
	GBytes *bytes = g_bytes_new_static(text, strlen(text));

	(void)soup;
	(void)path;
	(void)query;
	exchange->message = g_object_ref(message);
	exchange->cancellable = g_cancellable_new();
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(
						 message),
					 FALSE);
	g_signal_connect_data(message, "finished",
			      G_CALLBACK(client_handle_disconnect_),
			      g_object_ref(exchange->cancellable),
			      (GClosureNotify)(void (*)(void))g_object_unref,
			      0);
	soup_server_message_pause(message);
	soup_message_set_request_body_from_bytes(source_request,
						 "application/json", bytes);
	soup_session_send_async(relay->session, source_request,
				G_PRIORITY_DEFAULT, exchange->cancellable,
				response_handle_start_, exchange);
	g_bytes_unref(bytes);
	g_object_unref(source_request);
	g_free(uri);
}

/* Runs the baseline relay until it is stopped. */
int relay_bare_main(int argc, char **argv)
{
	baseline_relay_t relay = { 0 };
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &relay.listen, "Address",
		  "" },
		{ "source", 0, 0, G_OPTION_ARG_STRING_ARRAY, &relay.sources,
		  "Address of a server that sends tokens", "" },
		G_OPTION_ENTRY_NULL
	};
	relay_process_t process;
	GSocketAddress *address;
	char **parts;
	int exit_code;

	if (!cb_program_parse(
		    &argc, &argv, NULL,
		    "Forwards streams with libsoup alone, as a baseline.",
		    entries, &exit_code))
		return exit_code;
	relay_process_init(&process);
	relay.session = soup_session_new_with_options("max-conns", 65536,
						      "max-conns-per-host",
						      65536, NULL);
	relay.server = soup_server_new(NULL, NULL);
	soup_server_add_handler(relay.server, NULL, request_handle_, &relay,
				NULL);
	parts = g_strsplit(relay.listen, ":", 2);
	address = g_inet_socket_address_new_from_string(
		parts[0], (unsigned int)g_ascii_strtoull(parts[1], NULL, 10));
	g_strfreev(parts);
	if (!soup_server_listen(relay.server, address, 0, NULL))
		return CB_EXIT_FAILURE;
	return relay_process_run(&process);
}
