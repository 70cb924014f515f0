#include "soak.h"

#include <stdio.h>
#include <string.h>

#define STREAM_EVENTS_MIN 20
#define STREAM_EVENTS_MAX 40

static void effect_free_(void *data)
{
	soak_effect_t *effect = data;

	g_string_free(effect->servers, TRUE);
	g_free(effect);
}

/* Returns the service that requests with this path are for, or NULL. */
static const char *path_service_(const char *path)
{
	int kind;

	for (kind = 0; kind < SOAK_KIND_COUNT; kind++)
		if (g_str_has_prefix(path, soak_routes[kind].prefix))
			return soak_routes[kind].service;
	return NULL;
}

/* Adds a run to the record of a request ID or of a key. */
static void run_add_(GHashTable *effects, const char *name, char **words)
{
	soak_effect_t *effect = g_hash_table_lookup(effects, name);

	if (!effect) {
		effect = g_new0(soak_effect_t, 1);
		effect->servers = g_string_new(NULL);
		g_hash_table_insert(effects, g_strdup(name), effect);
	}
	effect->run_count++;
	effect->foreign_count +=
		g_strcmp0(path_service_(words[3]), words[1]) != 0;
	g_string_append_printf(effect->servers, " %s", words[2]);
}

/*
 * Adds one line of the file of effects, REQUEST SERVICE SERVER PATH, to the
 * records of its request and of its path, which ends in the key.
 */
static void effect_add_(GHashTable *effects, const char *line)
{
	char **words = g_strsplit(line, " ", 4);

	if (g_strv_length(words) == 4) {
		run_add_(effects, words[0], words);
		run_add_(effects, words[3], words);
	}
	g_strfreev(words);
}

GHashTable *soak_effects_read(const char *path)
{
	GHashTable *effects = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, effect_free_);
	char *text = NULL;
	char **lines;
	char **line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return effects;
	lines = g_strsplit(text, "\n", 0);
	for (line = lines; *line; line++)
		effect_add_(effects, *line);
	g_strfreev(lines);
	g_free(text);
	return effects;
}

gboolean soak_status_promises_no_run(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Returns the rule that a request which may run only once breaks, or NULL. */
static const char *once_rule_find_(const soak_request_t *request,
				   const soak_effect_t *effect,
				   const soak_effect_t *key_effect)
{
	if (effect && effect->run_count > 1)
		return "ran twice";
	if (effect && soak_status_promises_no_run(request->status))
		return "ran, though its answer says that it did not";
	if (key_effect && key_effect->run_count > 1)
		return "ran again after an answer that it did not run";
	return NULL;
}

/* Returns whether the body of a call is the request's own whole answer. */
static gboolean call_body_is_whole_(const soak_request_t *request)
{
	return g_str_has_prefix(request->body, request->id) &&
	       strlen(request->body) ==
		       strlen(request->id) + strlen(" of i-00000000");
}

unsigned int soak_stream_event_count(const char *key)
{
	return STREAM_EVENTS_MIN +
	       g_str_hash(key) % (STREAM_EVENTS_MAX - STREAM_EVENTS_MIN + 1);
}

char *soak_stream_event(const char *key, unsigned int id)
{
	return g_strdup_printf("id: %u\ndata: %s %u of %u\n\n", id, key, id,
			       soak_stream_event_count(key));
}

/* Returns the rule that the events of a stream break, or NULL. */
static const char *stream_rule_find_(const soak_request_t *request)
{
	unsigned int count = soak_stream_event_count(request->key);
	GString *expected = g_string_new(NULL);
	const char *rule = NULL;
	unsigned int id;

	for (id = 0; id < count; id++) {
		char *event = soak_stream_event(request->key, id);

		g_string_append(expected, event);
		g_free(event);
	}
	if (!g_str_has_prefix(expected->str, request->body))
		rule = "got events that are not its own, once and in order";
	else if (request->end == SOAK_END_WHOLE &&
		 strlen(request->body) < expected->len)
		rule = "got an incomplete stream that ends as a complete one";
	g_string_free(expected, TRUE);
	return rule;
}

/* Returns the rule that the answer to a request breaks, or NULL. */
static const char *answer_rule_find_(const soak_request_t *request,
				     const soak_effect_t *effect)
{
	if (soak_routes[request->kind].is_stream && request->body &&
	    request->begun_status == 200)
		return effect ? stream_rule_find_(request) :
				"got a stream without a run";
	if (request->status == 200 &&
	    (!effect || !request->body || !call_body_is_whole_(request)))
		return "got a success that is not its own whole answer";
	return NULL;
}

/* Returns the rule that a request breaks, or NULL. */
static const char *broken_rule_find_(const soak_request_t *request,
				     const soak_effect_t *effect,
				     const soak_effect_t *key_effect)
{
	const char *rule = NULL;

	if (!soak_routes[request->kind].may_run_again)
		rule = once_rule_find_(request, effect, key_effect);
	if (!rule && effect && effect->foreign_count)
		rule = "ran on another service";
	if (!rule)
		rule = answer_rule_find_(request, effect);
	return rule;
}

/* Prints a request that breaks a rule. */
static void broken_request_print_(const soak_request_t *request,
				  const soak_effect_t *effect, const char *rule)
{
	printf("    request %s at entry %u %s: kind %d, status %u, "
	       "ran %u times:%s\n",
	       request->id, request->entry, rule, request->kind,
	       request->status, effect ? effect->run_count : 0,
	       effect ? effect->servers->str : "");
}

unsigned int soak_check(const GPtrArray *requests, const char *effects_path,
			gboolean prints)
{
	GHashTable *effects = soak_effects_read(effects_path);
	unsigned int broken_count = 0;
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const soak_request_t *request = requests->pdata[i];
		char *path = g_strconcat(soak_routes[request->kind].prefix,
					 request->key, NULL);
		const soak_effect_t *effect =
			g_hash_table_lookup(effects, request->id);
		const char *rule =
			broken_rule_find_(request, effect,
					  g_hash_table_lookup(effects, path));

		g_free(path);
		broken_count += rule != NULL;
		if (rule && prints)
			broken_request_print_(request, effect, rule);
	}
	g_hash_table_unref(effects);
	return broken_count;
}
