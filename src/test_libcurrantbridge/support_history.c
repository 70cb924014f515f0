#include "support_history.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "currantbridge/history.h"

/* How long after its announcement a leaving server may get new work. */
#define MAX_WORK_AFTER_LEAVING_MS 2000

/* The checker's state of one request. */
typedef struct request {
	int64_t epoch;		 /* number of the newest epoch */
	int64_t delivered_count; /* tokens that the caller has received */
	gboolean has_run;
	gboolean is_ended;
	/* whether the request ended as not executed */
	gboolean is_not_executed;
	int64_t first_order; /* event number of the first ORDER; 0: none */
} request_t;

/* One token of one epoch, run by the layers one after another. */
typedef struct step {
	int64_t next_layer;
	char *text; /* text from the last run; empty but for the last layer */
} step_t;

typedef struct checker {
	GHashTable *requests; /* request ID to request_t */
	GHashTable *steps;    /* "REQUEST EPOCH TOKEN" to step_t */
	/* set of "WORKSPACE KEY", one for each call that was executed */
	GHashTable *effects;
	/*
	 * "WORKSPACE KEY" to the number of the last END event that reported the
	 * call as not executed
	 */
	GHashTable *not_executed;
	int64_t event_number; /* number of the current event, from 1 */
	GHashTable *leaving; /* server to the time of its announcement, in ms */
	JsonObject *event;   /* the current event */
	char *fault;	     /* the first violated rule, or NULL */
} checker_t;

static void step_delete_(void *data)
{
	g_free(((step_t *)data)->text);
	g_free(data);
}

static const char *event_text_(const checker_t *checker, const char *name)
{
	return json_object_get_string_member_with_default(checker->event, name,
							  "");
}

static int64_t event_int_(const checker_t *checker, const char *name)
{
	return json_object_get_int_member_with_default(checker->event, name, 0);
}

static void rule_check_(checker_t *checker, gboolean is_satisfied,
			const char *rule)
{
	if (!is_satisfied && !checker->fault)
		checker->fault = g_strdup(rule);
}

/* Returns the record of `key`, `size` zero bytes if new; frees `key`. */
static void *record_get_(GHashTable *table, char *key, size_t size)
{
	void *record = g_hash_table_lookup(table, key);

	if (!record) {
		record = g_malloc0(size);
		g_hash_table_insert(table, g_strdup(key), record);
	}
	g_free(key);
	return record;
}

static request_t *request_get_(checker_t *checker)
{
	return record_get_(checker->requests,
			   g_strdup(event_text_(checker, "request")),
			   sizeof(request_t));
}

static step_t *step_get_(checker_t *checker, int64_t token)
{
	return record_get_(checker->steps,
			   g_strdup_printf("%s %d %d",
					   event_text_(checker, "request"),
					   (int)event_int_(checker, "epoch"),
					   (int)token),
			   sizeof(step_t));
}

static char *call_key_new_(checker_t *checker)
{
	return g_strconcat(event_text_(checker, "workspace"), " ",
			   event_text_(checker, "key"), NULL);
}

/* Checks that a server is sent no work long after it announced leaving. */
static void order_check_(checker_t *checker)
{
	int64_t *at_ms = g_hash_table_lookup(checker->leaving,
					     event_text_(checker, "server"));
	request_t *request = request_get_(checker);

	if (!request->first_order)
		request->first_order = checker->event_number;
	rule_check_(checker,
		    !at_ms || event_int_(checker, "at_ms") - *at_ms <=
				      MAX_WORK_AFTER_LEAVING_MS,
		    "new work sent after leaving");
}

/* Checks that each layer runs once for each token of an epoch, in order. */
static void run_check_(checker_t *checker)
{
	step_t *step = step_get_(checker, event_int_(checker, "token"));

	rule_check_(checker,
		    event_int_(checker, "first_layer") == step->next_layer,
		    "layers did not run exactly once and in order");
	step->next_layer = event_int_(checker, "last_layer") + 1;
	g_free(step->text);
	step->text = g_strdup(event_text_(checker, "text"));
	request_get_(checker)->has_run = TRUE;
}

static void effect_check_(checker_t *checker)
{
	request_t *request = request_get_(checker);
	char *key = call_key_new_(checker);
	const int64_t *end_event =
		g_hash_table_lookup(checker->not_executed, key);

	rule_check_(checker, !g_hash_table_contains(checker->effects, key),
		    "a key took effect twice");
	rule_check_(checker, !end_event || request->first_order > *end_event,
		    "a key reported as not executed took effect");
	g_hash_table_add(checker->effects, key);
	request->has_run = TRUE;
}

/* Checks that an epoch begins after the last token delivered. */
static void epoch_check_(checker_t *checker)
{
	request_t *request = request_get_(checker);

	rule_check_(checker, event_int_(checker, "epoch") > request->epoch,
		    "epochs do not increase");
	rule_check_(checker,
		    event_int_(checker, "token") == request->delivered_count,
		    "an epoch does not begin after the last delivered token");
	request->epoch = event_int_(checker, "epoch");
}

/* Checks that tokens are delivered once, in order, from the newest epoch. */
static void deliver_check_(checker_t *checker)
{
	request_t *request = request_get_(checker);
	step_t *step = step_get_(checker, event_int_(checker, "token"));

	rule_check_(checker, !request->is_ended, "a token after the end");
	rule_check_(checker,
		    event_int_(checker, "token") == request->delivered_count,
		    "tokens not delivered once and in order");
	rule_check_(checker, event_int_(checker, "epoch") == request->epoch,
		    "a token of an old epoch");
	rule_check_(checker,
		    step->text && *step->text &&
			    !strcmp(step->text, event_text_(checker, "text")),
		    "a token that its layers did not produce");
	request->delivered_count++;
}

static void end_check_(checker_t *checker)
{
	request_t *request = request_get_(checker);
	gboolean is_not_executed =
		!strcmp(event_text_(checker, "executed"), "no");
	/*
	 * A call refused because its idempotency key was used with another body
	 * was not run, but the call that used the key first may have been.
	 */
	gboolean is_own_key = strcmp(event_text_(checker, "refusal"),
				     "idempotency_key_reused") != 0;
	char *key = call_key_new_(checker);

	rule_check_(checker, !request->is_ended, "a second end");
	request->is_ended = TRUE;
	request->is_not_executed = is_not_executed;
	if (is_not_executed && is_own_key && *event_text_(checker, "key")) {
		int64_t *end_event =
			record_get_(checker->not_executed, g_strdup(key),
				    sizeof(*end_event));

		*end_event = checker->event_number;
		rule_check_(checker,
			    !g_hash_table_contains(checker->effects, key),
			    "a key reported as not executed took effect");
	}
	g_free(key);
}

static void leaving_record_(checker_t *checker)
{
	int64_t *at_ms = record_get_(checker->leaving,
				     g_strdup(event_text_(checker, "server")),
				     sizeof(*at_ms));

	*at_ms = event_int_(checker, "at_ms");
}

static void event_check_(checker_t *checker)
{
	static const struct {
		cb_history_kind_t kind;
		void (*check)(checker_t *checker);
	} checks[] = {
		{ CB_HISTORY_ORDER, order_check_ },
		{ CB_HISTORY_RUN, run_check_ },
		{ CB_HISTORY_EFFECT, effect_check_ },
		{ CB_HISTORY_EPOCH, epoch_check_ },
		{ CB_HISTORY_DELIVER, deliver_check_ },
		{ CB_HISTORY_END, end_check_ },
		{ CB_HISTORY_LEAVING, leaving_record_ },
	};
	const char *kind = event_text_(checker, "kind");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(checks); i++)
		if (!strcmp(kind, cb_history_kind_string[checks[i].kind]))
			checks[i].check(checker);
}

/* Checks the rules that need the whole history. */
static void whole_history_check_(checker_t *checker)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, checker->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const request_t *request = value;

		rule_check_(checker,
			    !request->is_not_executed || !request->has_run,
			    "a request reported as not executed was run");
	}
}

char *support_history_check(const char *lines)
{
	char **list = g_strsplit(lines, "\n", 0);
	JsonParser *parser = json_parser_new();
	checker_t checker = {
		.requests = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free),
		.steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       step_delete_),
		.effects = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL),
		.not_executed = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free),
		.leaving = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free),
	};
	size_t i;

	for (i = 0; list[i] && !checker.fault; i++) {
		if (!*list[i])
			continue;
		if (!json_parser_load_from_data(parser, list[i], -1, NULL)) {
			checker.fault = g_strdup("a line is not JSON");
			break;
		}
		checker.event =
			json_node_get_object(json_parser_get_root(parser));
		checker.event_number++;
		event_check_(&checker);
		if (checker.fault) {
			char *fault = checker.fault;

			checker.fault =
				g_strdup_printf("%s: %s", fault, list[i]);
			g_free(fault);
		}
	}
	if (!checker.fault)
		whole_history_check_(&checker);
	g_hash_table_unref(checker.requests);
	g_hash_table_unref(checker.steps);
	g_hash_table_unref(checker.effects);
	g_hash_table_unref(checker.not_executed);
	g_hash_table_unref(checker.leaving);
	g_object_unref(parser);
	g_strfreev(list);
	return checker.fault;
}
