#include "currantbridge/http_server.h"

#include <string.h>

#include "currantbridge/program.h"

struct cb_http_server {
	cb_service_t service;
	cb_kernel_t *kernel;
	char *address;
	SoupServer *soup;
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
	cb_http_reply_error(message, SOUP_STATUS_NOT_FOUND, "unknown_path",
			    "no such path", CB_EXECUTED_NO, 0);
}

static gboolean http_server_start_(cb_service_t *service, GError **error)
{
	cb_http_server_t *server = (cb_http_server_t *)service;
	GSocketAddress *bound;
	GSocketConnectable *wanted;
	GSocketAddressEnumerator *addresses = NULL;
	GSocketAddress *address = NULL;
	gboolean is_listening = FALSE;
	GSList *uris;

	wanted = g_network_address_parse(server->address, 0, error);
	if (!wanted)
		return FALSE;
	addresses = g_socket_connectable_enumerate(wanted);
	address = g_socket_address_enumerator_next(addresses, NULL, error);
	if (!address)
		goto out;
	if (!soup_server_listen(server->soup, address, 0, error))
		goto out;
	uris = soup_server_get_uris(server->soup);
	server->port = (uint16_t)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	cb_log_event(cb_kernel_log(server->kernel), CB_EVENT_HTTP_LISTENING,
		     CB_STR("address", server->address),
		     CB_INT("port", server->port));
	is_listening = TRUE;
out:
	bound = address;
	g_clear_object(&bound);
	g_clear_object(&addresses);
	g_object_unref(wanted);
	return is_listening;
}

/* Answers already begun have ended by now: the services on top drain first. */
static void http_server_drain_(cb_service_t *service)
{
	cb_http_server_t *server = (cb_http_server_t *)service;

	soup_server_disconnect(server->soup);
	cb_kernel_drained(server->kernel, service);
}

static void http_server_destroy_(cb_service_t *service)
{
	cb_http_server_t *server = (cb_http_server_t *)service;

	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	g_free(server->address);
	g_free(server);
}

static const cb_service_vtable_t http_server_vtable = {
	.start = http_server_start_,
	.drain = http_server_drain_,
	.destroy = http_server_destroy_,
};

/*
 * Makes a server that will listen on `address` ("IP:PORT", port 0: any free
 * one) once the kernel starts it.  The caller registers it as "http".
 */
cb_http_server_t *cb_http_server_new(cb_kernel_t *kernel, const char *address)
{
	cb_http_server_t *server = g_new0(cb_http_server_t, 1);

	server->service.vtable = &http_server_vtable;
	server->kernel = kernel;
	server->address = g_strdup(address);
	server->soup = soup_server_new("server-header",
				       "currantbridge/" CB_VERSION, NULL);
	soup_server_add_handler(server->soup, NULL, not_found_handle_, server,
				NULL);
	soup_server_add_handler(server->soup, "/metrics", metrics_handle_,
				server, NULL);
	soup_server_add_handler(server->soup, "/healthz", health_handle_,
				server, NULL);
	return server;
}

/* Returns the libsoup server, to add handlers to. */
SoupServer *cb_http_server_soup(cb_http_server_t *server)
{
	return server->soup;
}

/* Returns the port bound at start, or 0 before. */
uint16_t cb_http_server_port(const cb_http_server_t *server)
{
	return server->port;
}

/* Answers with a JSON body; `body` stays the caller's. */
void cb_http_reply_json(SoupServerMessage *message, unsigned int status,
			JsonNode *body)
{
	char *text = json_to_string(body, FALSE);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

/*
 * Answers with the JSON error that every refusal has.  `executed` is a
 * promise to the caller.  A `retry_after_s` above 0 says when to come back.
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
