#include "currantbridge/http_server.h"

#include <string.h>

#include "currantbridge/program.h"
#include "currantbridge/refusal.h"
#include "private/http_message.h"

#define LISTEN_BACKLOG 1024
/* Delay before connections are accepted again after a failure. */
#define ACCEPT_RETRY_MS 100

struct cb_http_server {
	cb_service_t service;
	cb_kernel_t *kernel;
	char *address;
	SoupServer *soup;
	cb_http_guard_t guard;
	cb_connection_pool_t *pool;
	GSocket *listener;
	/* Accepts connections; NULL while none are accepted. */
	GSource *accept_source;
	cb_timer_t *accept_timer; /* restarts accepting after a failure */
	/* Port that the server is bound to; 0 before the start. */
	uint16_t port;
};

const char *const cb_executed_string[CB_EXECUTED_COUNT] = {
	[CB_EXECUTED_NO] = "no",
	[CB_EXECUTED_UNKNOWN] = "unknown",
	[CB_EXECUTED_YES] = "yes",
};

static void metrics_handle_(SoupServer *soup, SoupServerMessage *message,
			    const char *path, GHashTable *query,
			    void *user_data)
{
	cb_http_server_t *server = user_data;
	char *text = cb_counters_render(cb_kernel_counters(server->kernel));

	(void)soup;
	(void)path;
	(void)query;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "text/plain; version=0.0.4",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

static void health_handle_(SoupServer *soup, SoupServerMessage *message,
			   const char *path, GHashTable *query, void *user_data)
{
	(void)soup;
	(void)path;
	(void)query;
	(void)user_data;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_STATIC, "ok\n", 3);
}

static void not_found_handle_(SoupServer *soup, SoupServerMessage *message,
			      const char *path, GHashTable *query,
			      void *user_data)
{
	(void)soup;
	(void)path;
	(void)query;
	(void)user_data;
	cb_http_reply_error(message, cb_refusal_status[CB_REFUSAL_PATH_UNKNOWN],
			    cb_refusal_string[CB_REFUSAL_PATH_UNKNOWN],
			    cb_refusal_message[CB_REFUSAL_PATH_UNKNOWN],
			    CB_EXECUTED_NO, 0);
}

static cb_counter_t *refusal_counter_get_(cb_counters_t *counters,
					  cb_refusal_t refusal)
{
	return cb_counters_counter(counters, "cb_refusals_total", "reason",
				   cb_refusal_string[refusal]);
}

static void connection_add_(cb_http_server_t *server, GSocket *socket)
{
	cb_connection_t *connection = cb_connection_new(server->pool, socket);
	GSocketAddress *local = g_socket_get_local_address(socket, NULL);
	GSocketAddress *remote = g_socket_get_remote_address(socket, NULL);

	/* If the socket has no address, the peer has already disconnected. */
	if (local && remote) {
		cb_connection_attach_to_address(connection, remote);
		soup_server_accept_iostream(server->soup,
					    cb_connection_stream(connection),
					    local, remote, NULL);
	}
	g_clear_object(&local);
	g_clear_object(&remote);
	g_object_unref(connection);
}

static void accept_stop_(cb_http_server_t *server)
{
	if (!server->accept_source)
		return;
	g_source_destroy(server->accept_source);
	g_source_unref(server->accept_source);
	server->accept_source = NULL;
}

/* Accepts the waiting connections and hands them to libsoup. */
static gboolean connections_accept_(GSocket *listener, GIOCondition condition,
				    void *user_data)
{
	cb_http_server_t *server = user_data;
	GError *error = NULL;
	GSocket *socket;

	(void)condition;
	while ((socket = g_socket_accept(listener, NULL, &error))) {
		connection_add_(server, socket);
		g_object_unref(socket);
	}
	if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		cb_log_event(cb_kernel_log(server->kernel),
			     CB_EVENT_ACCEPT_FAILED,
			     CB_STR("error", error->message));
		accept_stop_(server);
		cb_timer_start(server->accept_timer, ACCEPT_RETRY_MS);
	}
	g_error_free(error);
	return G_SOURCE_CONTINUE;
}

static void accept_start_(void *user_data)
{
	cb_http_server_t *server = user_data;

	server->accept_source =
		g_socket_create_source(server->listener, G_IO_IN, NULL);
	g_source_set_callback(server->accept_source,
			      G_SOURCE_FUNC(connections_accept_), server, NULL);
	g_source_attach(server->accept_source,
			cb_kernel_context(server->kernel));
}

/* Binds the server's socket and listens; sets `server->port`. */
static gboolean listener_open_(cb_http_server_t *server,
			       GSocketAddress *address, GError **error)
{
	GSocketAddress *bound;

	server->listener = g_socket_new(g_socket_address_get_family(address),
					G_SOCKET_TYPE_STREAM,
					G_SOCKET_PROTOCOL_TCP, error);
	if (!server->listener)
		return FALSE;
	g_socket_set_blocking(server->listener, FALSE);
	g_socket_set_listen_backlog(server->listener, LISTEN_BACKLOG);
	if (!g_socket_bind(server->listener, address, TRUE, error) ||
	    !g_socket_listen(server->listener, error))
		return FALSE;
	bound = g_socket_get_local_address(server->listener, error);
	if (!bound)
		return FALSE;
	server->port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_object_unref(bound);
	return TRUE;
}

static gboolean http_server_start_(cb_service_t *service, GError **error)
{
	cb_http_server_t *server = (cb_http_server_t *)service;
	GNetworkAddress *parsed_address;
	GSocketAddress *address;
	gboolean is_listening = FALSE;

	parsed_address = G_NETWORK_ADDRESS(
		g_network_address_parse(server->address, 0, error));
	if (!parsed_address)
		return FALSE;
	address = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(parsed_address),
		g_network_address_get_port(parsed_address));
	g_object_unref(parsed_address);
	if (!address) {
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
			    "%s is not IP:PORT", server->address);
		return FALSE;
	}
	is_listening = listener_open_(server, address, error);
	g_object_unref(address);
	if (!is_listening)
		return FALSE;
	accept_start_(server);
	cb_log_event(cb_kernel_log(server->kernel), CB_EVENT_HTTP_LISTENING,
		     CB_STR("address", server->address),
		     CB_INT("port", server->port));
	return TRUE;
}

static void connections_idle_handle_(void *user_data)
{
	cb_http_server_t *server = user_data;

	cb_kernel_service_drained(server->kernel, &server->service);
}

static void listener_close_(cb_http_server_t *server)
{
	accept_stop_(server);
	cb_timer_stop(server->accept_timer);
	if (server->listener)
		g_socket_close(server->listener, NULL);
	g_clear_object(&server->listener);
}

/*
 * The services that use this one have drained before, so all answers are
 * complete; this waits until their last bytes have been sent.
 */
static void http_server_drain_(cb_service_t *service)
{
	cb_http_server_t *server = (cb_http_server_t *)service;

	listener_close_(server);
	soup_server_disconnect(server->soup);
	cb_connection_pool_notify_idle(server->pool, connections_idle_handle_,
				       server);
}

static void http_server_destroy_(cb_service_t *service)
{
	cb_http_server_t *server = (cb_http_server_t *)service;

	listener_close_(server);
	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	cb_connection_pool_delete(server->pool);
	cb_timer_delete(server->accept_timer);
	g_free(server->address);
	g_free(server);
}

static const cb_service_vtable_t http_server_vtable = {
	.start = http_server_start_,
	.drain = http_server_drain_,
	.destroy = http_server_destroy_,
};

/*
 * Creates a server that listens on `address` ("IP:PORT", port 0: any free
 * port) once the kernel starts it.  The caller registers it as "http".
 */
cb_http_server_t *cb_http_server_new(cb_kernel_t *kernel, const char *address)
{
	cb_http_server_t *server = g_new0(cb_http_server_t, 1);
	cb_counters_t *counters = cb_kernel_counters(kernel);
	cb_clock_t *clock = cb_kernel_clock(kernel);

	server->service.vtable = &http_server_vtable;
	server->kernel = kernel;
	server->address = g_strdup(address);
	server->pool = cb_connection_pool_new(cb_kernel_context(kernel), clock);
	server->accept_timer = cb_timer_new(clock, accept_start_, server);
	server->soup = soup_server_new("server-header",
				       "currantbridge/" CB_VERSION, NULL);
	server->guard.clock = clock;
	server->guard.context = cb_kernel_context(kernel);
	server->guard.header_invalid =
		refusal_counter_get_(counters, CB_REFUSAL_HEADER_INVALID);
	server->guard.body_too_large =
		refusal_counter_get_(counters, CB_REFUSAL_BODY_TOO_LARGE);
	server->guard.malformed =
		refusal_counter_get_(counters, CB_REFUSAL_MALFORMED);
	cb_http_guard_attach(&server->guard, server->soup);
	soup_server_add_handler(server->soup, NULL, not_found_handle_, server,
				NULL);
	soup_server_add_handler(server->soup, "/metrics", metrics_handle_,
				server, NULL);
	soup_server_add_handler(server->soup, "/healthz", health_handle_,
				server, NULL);
	return server;
}

/* Returns the pool of the accepted connections. */
cb_connection_pool_t *cb_http_server_pool(cb_http_server_t *server)
{
	return server->pool;
}

/*
 * Refuses request bodies of more than `size_bytes` without waiting for the
 * whole body.  0: no limit.
 */
void cb_http_server_limit_body(cb_http_server_t *server, int64_t size_bytes)
{
	server->guard.max_body_bytes = size_bytes;
}

/* Returns the libsoup server, to which handlers may be added. */
SoupServer *cb_http_server_soup(cb_http_server_t *server)
{
	return server->soup;
}

/* Returns the port bound at the start, or 0 before. */
uint16_t cb_http_server_port(const cb_http_server_t *server)
{
	return server->port;
}

/* Answers with a JSON body; the caller keeps ownership of `body`. */
void cb_http_reply_json(SoupServerMessage *message, unsigned int status,
			JsonNode *body)
{
	char *text = json_to_string(body, FALSE);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

/*
 * Answers with the JSON error that all refusals share.  `executed` is a
 * guarantee to the caller.  A `retry_after_s` above 0 sets Retry-After.
 */
void cb_http_reply_error(SoupServerMessage *message, unsigned int status,
			 const char *reason, const char *text,
			 cb_executed_t executed, int64_t retry_after_s)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	JsonObject *error = json_object_new();
	JsonObject *body = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *seconds;

	json_object_set_string_member(error, "reason", reason);
	json_object_set_string_member(error, "message", text);
	json_object_set_string_member(error, "executed",
				      cb_executed_string[executed]);
	json_object_set_object_member(body, "error", error);
	json_node_take_object(node, body);
	if (retry_after_s > 0) {
		seconds = g_strdup_printf("%" G_GINT64_FORMAT, retry_after_s);
		soup_message_headers_replace(headers, "Retry-After", seconds);
		g_free(seconds);
	}
	cb_http_reply_json(message, status, node);
	json_node_unref(node);
}
