#ifndef FAKE_BACKEND_H
#define FAKE_BACKEND_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>

#include "currantbridge/http_server.h"
#include "currantbridge/kernel.h"

/* The command line, and what the parts of the stand-in share. */
typedef struct fake_options {
	char *name;
	char *listen;
	char **announce;
	char *data_centre;
	char *model;
	int layers;
	int first_layer;
	int last_layer;
	char *service;
	int capacity;
	int token_ms;
	int answer_ms;
	char *crash_on;
	int silent_after;
	char *fencing;
	char *log_path;
} fake_options_t;

typedef struct fake_backend {
	const fake_options_t *options;
	cb_kernel_t *kernel;
	cb_http_server_t *http;
	FILE *effects;
	gboolean checks_fencing;
	gboolean is_leaving;
	gboolean is_silent;
	int64_t running;
	int64_t executed;
} fake_backend_t;

/* Tells whether the backend has gone silent; its request then hangs. */
gboolean fake_backend_is_silent(fake_backend_t *backend);
/* Counts an executed token or call; may turn the backend silent. */
void fake_backend_count(fake_backend_t *backend);
/* Ends the process if `text` holds the text of --crash-on. */
void fake_backend_crash_on(const fake_backend_t *backend, const char *text);
/* Writes one JSON line to the effects' log; takes `line`. */
void fake_backend_log(fake_backend_t *backend, JsonObject *line);

/* Parses a JSON object from a request, or answers 400 and returns NULL. */
JsonObject *fake_request_parse(SoupServerMessage *message);
const char *fake_member_string(JsonObject *object, const char *name);
int64_t fake_member_int(JsonObject *object, const char *name);
/* Answers with `body`, which it takes. */
void fake_reply(SoupServerMessage *message, unsigned int status,
		JsonObject *body);
void fake_refuse(SoupServerMessage *message, unsigned int status,
		 const char *error);
char *fake_to_text(JsonObject *object);

cb_service_t *fake_engine_new(fake_backend_t *backend);
cb_service_t *fake_service_new(fake_backend_t *backend);
cb_service_t *fake_announcer_new(fake_backend_t *backend);

#endif
