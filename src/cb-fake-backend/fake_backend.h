#ifndef FAKE_BACKEND_H
#define FAKE_BACKEND_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>

#include "currantbridge/http_server.h"
#include "currantbridge/kernel.h"

/* The options of the command line. */
typedef struct fake_options {
	char *name;
	char *listen;
	char **announce_to; /* IP:PORT of entry instances */
	char *data_centre;
	char *model;
	int layer_count; /* number of layers of the whole model */
	int first_layer;
	int last_layer;
	/* Name of the plain service; NULL: the server is an engine. */
	char *service;
	int capacity;  /* maximum number of concurrent requests */
	int token_ms;  /* duration of a token, step or call */
	int answer_ms; /* time from a call's execution to its answer */
	/* The server crashes on requests with this text, or NULL. */
	char *crash_text;
	/* Tokens or calls until the server falls silent; 0: never. */
	int silent_after;
	/* Whether fencing is checked: "yes", "no" or NULL for "no". */
	char *fencing;
	/* Path of the log of executed tokens and calls, or NULL. */
	char *effect_log_path;
} fake_options_t;

/* What the services of the fake backend share. */
typedef struct fake_backend {
	const fake_options_t *options;
	cb_kernel_t *kernel;
	cb_http_server_t *http;
	/* Log with a JSON line per executed token or call, or NULL. */
	FILE *effect_log;
	gboolean checks_fencing;
	gboolean is_leaving;
	gboolean is_silent;
	int64_t running_count;	/* number of sessions or calls in progress */
	int64_t executed_count; /* number of executed tokens or calls */
} fake_backend_t;

gboolean fake_backend_is_silent(fake_backend_t *backend);
void fake_backend_count_execution(fake_backend_t *backend);
void fake_backend_crash_on_match(const fake_backend_t *backend,
				 const char *text);
void fake_backend_log_effect(fake_backend_t *backend, JsonObject *line);

JsonObject *fake_request_parse(SoupServerMessage *message);
const char *fake_member_string(JsonObject *object, const char *name);
int64_t fake_member_int(JsonObject *object, const char *name);
void fake_reply(SoupServerMessage *message, unsigned int status,
		JsonObject *body);
void fake_reply_error(SoupServerMessage *message, unsigned int status,
		      const char *error);
char *fake_json_to_text(JsonObject *object);

cb_service_t *fake_engine_new(fake_backend_t *backend);
cb_service_t *fake_service_new(fake_backend_t *backend);
cb_service_t *fake_announcer_new(fake_backend_t *backend);

#endif
