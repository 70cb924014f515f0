#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/chain.h"
#include "currantbridge/command.h"
#include "currantbridge/document.h"
#include "currantbridge/fleet.h"
#include "currantbridge/placement.h"
#include "currantbridge/state.h"
#include "platform.h"
#include "private/file_folder.h"
#include "private/http1_body.h"
#include "private/item.h"
#include "private/link_message.h"
#include "private/members.h"
#include "private/replica_message.h"
#include "private/state_data.h"
#include "private/usage.h"

/*
 * The readers of bytes from outside, for libFuzzer: CB_FUZZ_READER names the one
 * that gets the inputs.  A reader may reject its input, but must not crash, leak
 * or read beyond it.
 */
#define HEAD_MAX_BYTES 16384

/* NOLINTBEGIN(readability-identifier-naming): libFuzzer calls these names. */
int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
/* NOLINTEND(readability-identifier-naming) */

typedef void (*read_fn_t)(const uint8_t *data, size_t size);

/* Reads a heartbeat twice, since the second may be compared with the first. */
static void heartbeat_read_(const uint8_t *data, size_t size)
{
	platform_heartbeats_t *heartbeats = platform_heartbeats_new();
	cb_fleet_t *fleet = cb_fleet_new();
	int i;

	for (i = 0; i < 2; i++) {
		GError *error = NULL;
		const cb_fleet_server_t *server =
			platform_heartbeats_read(heartbeats, "i-1",
						 (const char *)data, size,
						 &error);

		g_assert(server || error);
		if (server)
			cb_fleet_update(fleet, server, 1000);
		g_clear_error(&error);
	}
	cb_fleet_delete(fleet);
	platform_heartbeats_delete(heartbeats);
}

/* Plans the layers of a service with one server of each kind. */
static void layers_plan_(const cb_engine_profile_t *engine)
{
	GArray *servers =
		g_array_new(FALSE, TRUE, sizeof(cb_placement_server_t));
	unsigned int i;

	for (i = 0; i < MIN(engine->kinds->len, 8); i++) {
		const cb_engine_kind_t *kind = engine->kinds->pdata[i];
		const cb_placement_server_t server = {
			.data_centre = "a",
			.memory_mb = kind->memory_mb,
			.from = i,
			.to = 80,
			.accepts_orders = TRUE,
		};

		g_array_append_val(servers, server);
	}
	g_array_unref(cb_placement_plan(engine,
					(cb_placement_server_t *)servers->data,
					servers->len));
	g_array_unref(servers);
}

/* Uses a document; NULL is allowed. */
static void document_use_(cb_document_t *document)
{
	GHashTableIter iter;
	void *value;

	if (!document)
		return;
	g_hash_table_iter_init(&iter, document->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_service_profile_t *service = value;

		if (service->engine && service->engine->layers <= 200)
			layers_plan_(service->engine);
	}
	cb_document_unref(document);
}

/* Reads a document as an operator sends it, and as one that was accepted. */
static void document_read_(const uint8_t *data, size_t size)
{
	GBytes *packed = cb_document_pack((const char *)data, size);
	GError *error = NULL;
	cb_document_t *document =
		cb_document_decode_text(platform_document_codec(),
					(const char *)data, size, NULL, &error);
	cb_document_t *accepted =
		cb_document_decode(platform_accepted_document_codec(), packed,
				   NULL, NULL);

	g_assert(document || error);
	g_assert(accepted || !document);
	g_clear_error(&error);
	g_bytes_unref(packed);
	document_use_(document);
	document_use_(accepted);
}

static void body_ignore_(void *user_data, const uint8_t *data, size_t size)
{
	(void)user_data;
	(void)data;
	(void)size;
}

/* Reads the body that follows a head, byte by byte. */
static void body_read_(const cb_http1_head_t *head, const uint8_t *data,
		       size_t size)
{
	cb_http1_parse_result_t result = CB_HTTP1_PARSE_PARTIAL;
	cb_http1_body_t body;
	size_t at = 0;

	cb_http1_body_init(&body, head);
	while (at < size && result == CB_HTTP1_PARSE_PARTIAL) {
		size_t used = 0;

		result = cb_http1_body_read(&body, data + at, 1, &used,
					    body_ignore_, NULL);
		g_assert(used <= 1);
		at++;
	}
	cb_http1_body_clear(&body);
}

static void request_read_(const uint8_t *data, size_t size)
{
	cb_http1_head_t head;
	size_t used = 0;

	if (cb_http1_request_parse(&head, data, size, HEAD_MAX_BYTES, &used) !=
	    CB_HTTP1_PARSE_COMPLETE)
		return;
	g_assert(used <= size);
	if (head.framing != CB_HTTP1_FRAMING_UNTIL_CLOSE) {
		cb_relay_request_info_t info;

		platform_dialect()->vtable->read_request_info(
			platform_dialect(), &head, &info);
		body_read_(&head, data + used, size - used);
	}
	cb_http1_head_clear(&head);
}

static void answer_read_(const uint8_t *data, size_t size)
{
	cb_http1_head_t head;
	size_t used = 0;
	cb_relay_answer_info_t info = { .running = -1, .limit_per_s = -1 };

	if (cb_http1_answer_parse(&head, "GET", data, size, HEAD_MAX_BYTES,
				  &used) != CB_HTTP1_PARSE_COMPLETE)
		return;
	g_assert(used <= size);
	platform_dialect()->vtable->read_answer_info(platform_dialect(), &head,
						     "7", &info);
	body_read_(&head, data + used, size - used);
	cb_http1_head_clear(&head);
}

/* Reads a message body as each kind that an instance may get. */
static void message_body_read_(GBytes *body)
{
	cb_fleet_t *fleet = cb_fleet_new();
	cb_hello_t hello = { 0 };
	cb_usage_t *usage = cb_usage_decode(body);
	cb_message_t *message = cb_message_decode(body);
	cb_command_t *command = cb_command_decode(body);
	cb_answer_t *answer = cb_answer_decode(body);
	GPtrArray *reports = cb_session_reports_decode(body);
	GPtrArray *members = cb_members_decode(body, NULL);

	g_strfreev(cb_addresses_decode(body));
	if (cb_hello_decode(body, &hello))
		cb_hello_clear(&hello);
	cb_fleet_merge(fleet, body, 1000);
	cb_fleet_delete(fleet);
	cb_usage_delete(usage);
	if (message)
		cb_message_delete(message);
	cb_command_delete(command);
	cb_answer_delete(answer);
	g_clear_pointer(&reports, g_ptr_array_unref);
	g_clear_pointer(&members, g_ptr_array_unref);
}

static void frame_read_(const uint8_t *data, size_t size)
{
	cb_link_message_t *message = cb_link_message_decode(data, size);
	GBytes *body = g_bytes_new(data, size);

	message_body_read_(body);
	if (message && message->body)
		message_body_read_(message->body);
	if (message)
		cb_link_message_delete(message);
	g_bytes_unref(body);
}

/* Reads a snapshot and an update of a view; both carry a hash of their bytes. */
static void state_read_(const uint8_t *data, size_t size)
{
	cb_state_t *state;
	cb_view_t *view;
	GBytes *bytes;

	if (!size)
		return;
	bytes = cb_update_add_hash(g_bytes_new(data, size));
	state = cb_state_new();
	view = cb_view_new();

	(void)cb_state_restore(state, bytes, NULL);
	(void)cb_view_apply(view, bytes);
	cb_view_delete(view);
	cb_state_delete(state);
	g_bytes_unref(bytes);
}

/* Reads the log of a data folder. */
static void log_read_(const uint8_t *data, size_t size)
{
	static char *path;
	cb_storage_content_t content = { 0 };
	cb_file_folder_t *folder;
	char *file;

	if (!path)
		path = g_dir_make_tmp("cb-fuzz-XXXXXX", NULL);
	file = g_build_filename(path, "log", NULL);
	g_assert(g_file_set_contents(file, (const char *)data, (gssize)size,
				     NULL));
	folder = cb_file_folder_new(path, NULL);
	(void)cb_file_folder_load(folder, &content, NULL);
	cb_storage_content_clear(&content);
	cb_file_folder_delete(folder);
	g_remove(file);
	g_free(file);
}

static const struct {
	const char *name;
	read_fn_t read;
} readers[] = {
	{ "heartbeat", heartbeat_read_ },
	{ "document", document_read_ },
	{ "request", request_read_ },
	{ "answer", answer_read_ },
	{ "frame", frame_read_ },
	{ "state", state_read_ },
	{ "log", log_read_ },
};

static read_fn_t selected;

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	const char *name = g_getenv("CB_FUZZ_READER");
	size_t i;

	(void)argc;
	(void)argv;
	for (i = 0; i < G_N_ELEMENTS(readers); i++)
		if (!g_strcmp0(name, readers[i].name))
			selected = readers[i].read;
	if (!selected) {
		fprintf(stderr, "CB_FUZZ_READER: names no reader\n");
		exit(2);
	}
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	selected(data, size);
	return 0;
}
