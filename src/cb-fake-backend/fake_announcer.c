#include "fake_backend.h"

#include <string.h>

#define FIRST_INTERVAL_MS 200
#define ANSWER_BOUND_BYTES 65536

/* Announces the fake backend with its load to entry instances. */
typedef struct announcer {
	cb_service_t service;
	fake_backend_t *backend;
	SoupSession *session;
	cb_timer_t *timer;
	/* Entry instances named by the last answer, or NULL. */
	char **report_to;
	int64_t interval_ms;
	/* Start time of this process, as wall time in ms. */
	int64_t incarnation;
	gboolean is_draining;
	GCancellable *cancellable; /* cancels the announcements in flight */
} announcer_t;

static void announcement_add_models_(JsonObject *body,
				     const fake_options_t *options)
{
	JsonArray *models = json_array_new();
	JsonObject *model = json_object_new();

	json_object_set_string_member(model, "name", options->model);
	json_object_set_int_member(model, "first_layer", options->first_layer);
	json_object_set_int_member(model, "last_layer", options->last_layer);
	json_object_set_int_member(model, "layers", options->layer_count);
	json_array_add_object_element(models, model);
	json_object_set_array_member(body, "models", models);
}

static void announcement_add_services_(JsonObject *body,
				       const fake_options_t *options)
{
	JsonArray *services = json_array_new();

	json_array_add_string_element(services, options->service);
	json_object_set_array_member(body, "services", services);
}

/* Returns the JSON text of an announcement. */
static char *announcement_make_(announcer_t *announcer)
{
	fake_backend_t *backend = announcer->backend;
	const fake_options_t *options = backend->options;
	JsonObject *body = json_object_new();
	JsonObject *load = json_object_new();
	const char *colon = strrchr(options->listen, ':');
	char *address =
		g_strdup_printf("%.*s:%u", (int)(colon - options->listen),
				options->listen,
				cb_http_server_port(backend->http));
	char *text;

	json_object_set_string_member(body, "name", options->name);
	json_object_set_string_member(body, "address", address);
	json_object_set_string_member(body, "data_centre",
				      options->data_centre);
	json_object_set_string_member(body, "kind",
				      options->service ? "service" : "engine");
	json_object_set_int_member(body, "incarnation", announcer->incarnation);
	json_object_set_string_member(body, "state",
				      backend->is_leaving ? "leaving" :
							    "ready");
	json_object_set_boolean_member(body, "checks_fencing",
				       backend->checks_fencing);
	json_object_set_int_member(body, "capacity", options->capacity);
	json_object_set_int_member(load, "running", backend->running_count);
	json_object_set_int_member(load, "queued", 0);
	json_object_set_object_member(body, "load", load);
	if (options->service)
		announcement_add_services_(body, options);
	else
		announcement_add_models_(body, options);
	text = fake_json_to_text(body);
	json_object_unref(body);
	g_free(address);
	return text;
}

/* Adopts the addresses and the interval of an answer to an announcement. */
static void answer_apply_(announcer_t *announcer, GBytes *bytes)
{
	JsonParser *parser = json_parser_new();
	GPtrArray *addresses = g_ptr_array_new();
	JsonArray *array;
	JsonObject *answer;
	JsonNode *root;
	unsigned int i;
	size_t size;
	const char *text = g_bytes_get_data(bytes, &size);

	if (!json_parser_load_from_data(parser, text, (gssize)size, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	answer = json_node_get_object(root);
	if (!json_object_has_member(answer, "report_to"))
		goto out;
	array = json_object_get_array_member(answer, "report_to");
	for (i = 0; i < json_array_get_length(array); i++)
		g_ptr_array_add(addresses,
				g_strdup(json_array_get_string_element(array,
								       i)));
	if (!addresses->len)
		goto out;
	g_ptr_array_add(addresses, NULL);
	g_strfreev(announcer->report_to);
	announcer->report_to = (char **)g_ptr_array_free(addresses, FALSE);
	addresses = NULL;
	announcer->interval_ms =
		CLAMP(fake_member_int(answer, "interval_ms"), 50, 10000);
out:
	if (addresses)
		g_ptr_array_unref(addresses);
	g_object_unref(parser);
}

static void announcer_handle_answer_(GObject *source, GAsyncResult *result,
				     void *user_data)
{
	announcer_t *announcer = user_data;
	GError *error = NULL;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, &error);
	gboolean is_stopped =
		g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED);

	if (bytes && !is_stopped)
		answer_apply_(announcer, bytes);
	g_clear_pointer(&bytes, g_bytes_unref);
	g_clear_error(&error);
}

static void announcer_send_to_(announcer_t *announcer, const char *address,
			       const char *text)
{
	char *uri = g_strdup_printf("http://%s/v1/backend/announce", address);
	SoupMessage *message = soup_message_new("POST", uri);
	GBytes *body = g_bytes_new(text, strlen(text));

	soup_message_set_request_body_from_bytes(message, "application/json",
						 body);
	soup_session_send_and_read_async(announcer->session, message,
					 G_PRIORITY_DEFAULT,
					 announcer->cancellable,
					 announcer_handle_answer_, announcer);
	g_bytes_unref(body);
	g_object_unref(message);
	g_free(uri);
}

/* Sends an announcement to all known entry instances. */
static void announcer_send_all_(void *user_data)
{
	announcer_t *announcer = user_data;
	fake_backend_t *backend = announcer->backend;
	char *text;
	char **address;

	cb_timer_start(announcer->timer, announcer->interval_ms);
	if (fake_backend_is_silent(backend))
		return;
	text = announcement_make_(announcer);
	for (address = announcer->report_to; address && *address; address++)
		announcer_send_to_(announcer, *address, text);
	/* Entry instances of --announce may know newer entry instances. */
	for (address = backend->options->announce_to; address && *address;
	     address++)
		if (!announcer->report_to ||
		    !g_strv_contains((const char *const *)announcer->report_to,
				     *address))
			announcer_send_to_(announcer, *address, text);
	g_free(text);
	if (announcer->is_draining && !backend->running_count) {
		announcer->is_draining = FALSE;
		cb_kernel_service_drained(backend->kernel, &announcer->service);
	}
}

static gboolean announcer_start_(cb_service_t *service, GError **error)
{
	announcer_t *announcer = (announcer_t *)service;

	(void)error;
	announcer_send_all_(announcer);
	return TRUE;
}

/* Announces that the server leaves; the drain ends when no request runs. */
static void announcer_drain_(cb_service_t *service)
{
	announcer_t *announcer = (announcer_t *)service;

	announcer->backend->is_leaving = TRUE;
	announcer_send_all_(announcer);
	announcer->is_draining = TRUE;
}

static void announcer_destroy_(cb_service_t *service)
{
	announcer_t *announcer = (announcer_t *)service;

	g_cancellable_cancel(announcer->cancellable);
	soup_session_abort(announcer->session);
	while (g_main_context_iteration(
		cb_kernel_context(announcer->backend->kernel), FALSE))
		;
	g_object_unref(announcer->session);
	g_object_unref(announcer->cancellable);
	cb_timer_delete(announcer->timer);
	g_strfreev(announcer->report_to);
	g_free(announcer);
}

static const cb_service_vtable_t announcer_vtable = {
	.start = announcer_start_,
	.drain = announcer_drain_,
	.destroy = announcer_destroy_,
};

/* Creates the service that announces the fake backend. */
cb_service_t *fake_announcer_new(fake_backend_t *backend)
{
	announcer_t *announcer = g_new0(announcer_t, 1);
	cb_clock_t *clock = cb_kernel_clock(backend->kernel);

	announcer->service.vtable = &announcer_vtable;
	announcer->backend = backend;
	announcer->session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	soup_session_set_timeout(announcer->session, 2);
	announcer->timer = cb_timer_new(clock, announcer_send_all_, announcer);
	announcer->interval_ms = FIRST_INTERVAL_MS;
	announcer->incarnation = cb_clock_wall_ms(clock);
	announcer->cancellable = g_cancellable_new();
	return &announcer->service;
}
