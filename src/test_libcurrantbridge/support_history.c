#include "support_history.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "currantbridge/history.h"

#define LEAVING_BOUND_MS 2000

/* What the checker knows of one request. */
typedef struct request {
	int64_t epoch;	   /* the newest */
	int64_t delivered; /* tokens that the caller has */
	gboolean has_run;
	gboolean is_ended;
	gboolean was_told_no;
	int64_t first_order; /* number of its event; 0: none */
} request_t;

/* One token of one epoch on its way through the layers. */
typedef struct step {
	int64_t next_layer;
	char *text; /* what the last layer made */
} step_t;

typedef struct checker {
	GHashTable *requests;
	GHashTable *steps;   /* "request epoch token" */
	GHashTable *effects; /* "workspace key" of executed calls */
	/* "workspace key" to the event that last told a caller "no" */
	GHashTable *refused;
	int64_t event_number;
	GHashTable *leaving; /* server to the time of its announcement */
	JsonObject *event;
	char *fault;
} checker_t;

static void step_delete_(void *data)
{
	g_free(((step_t *)data)->text);
	g_free(data);
}

static const char *text_(const checker_t *checker, const char *name)
{
	return json_object_get_string_member_with_default(checker->event, name,
							  "");
}

static int64_t number_(const checker_t *checker, const char *name)
{
	return json_object_get_int_member_with_default(checker->event, name, 0);
}

static void check_(checker_t *checker, gboolean is_kept, const char *rule)
{
	if (!is_kept && !checker->fault)
		checker->fault = g_strdup(rule);
}

/* Finds a record by key, or makes one of `size` zero bytes. */
static void *record_(GHashTable *table, char *key, size_t size)
{
	void *record = g_hash_table_lookup(table, key);

	if (!record) {
		record = g_malloc0(size);
		g_hash_table_insert(table, g_strdup(key), record);
	}
	g_free(key);
	return record;
}

static request_t *request_(checker_t *checker)
{
	return record_(checker->requests, g_strdup(text_(checker, "request")),
		       sizeof(request_t));
}

static step_t *step_(checker_t *checker, int64_t token)
{
	return record_(checker->steps,
		       g_strdup_printf("%s %d %d", text_(checker, "request"),
				       (int)number_(checker, "epoch"),
				       (int)token),
		       sizeof(step_t));
}

static char *call_key_(checker_t *checker)
{
	return g_strconcat(text_(checker, "workspace"), " ",
			   text_(checker, "key"), NULL);
}

/* No work goes to a server that has been leaving for long. */
static void order_(checker_t *checker)
{
	int64_t *at_ms =
		g_hash_table_lookup(checker->leaving, text_(checker, "server"));
	request_t *request = request_(checker);

	if (!request->first_order)
		request->first_order = checker->event_number;
	check_(checker,
	       !at_ms || number_(checker, "at_ms") - *at_ms <= LEAVING_BOUND_MS,
	       "new work after leaving");
}

/* Within an epoch each layer runs once for each token, in order. */
static void run_(checker_t *checker)
{
	step_t *step = step_(checker, number_(checker, "token"));

	check_(checker, number_(checker, "first_layer") == step->next_layer,
	       "layers not exactly once and in order");
	step->next_layer = number_(checker, "last_layer") + 1;
	g_free(step->text);
	step->text = g_strdup(text_(checker, "text"));
	request_(checker)->has_run = TRUE;
}

static void effect_(checker_t *checker)
{
	request_t *request = request_(checker);
	char *key = call_key_(checker);
	const int64_t *told_no = g_hash_table_lookup(checker->refused, key);

	check_(checker, !g_hash_table_contains(checker->effects, key),
	       "a key took effect twice");
	check_(checker, !told_no || request->first_order > *told_no,
	       "a key that was called not run took effect");
	g_hash_table_add(checker->effects, key);
	request->has_run = TRUE;
}

/* An epoch goes on from the last token that the caller has. */
static void epoch_(checker_t *checker)
{
	request_t *request = request_(checker);

	check_(checker, number_(checker, "epoch") > request->epoch,
	       "epochs do not rise");
	check_(checker, number_(checker, "token") == request->delivered,
	       "an epoch does not begin at the last delivered token");
	request->epoch = number_(checker, "epoch");
}

/* Each token reaches the caller once, in order, from the newest epoch. */
static void deliver_(checker_t *checker)
{
	request_t *request = request_(checker);
	step_t *step = step_(checker, number_(checker, "token"));

	check_(checker, !request->is_ended, "a token after the end");
	check_(checker, number_(checker, "token") == request->delivered,
	       "tokens not once and in order");
	check_(checker, number_(checker, "epoch") == request->epoch,
	       "a token of an old epoch");
	check_(checker,
	       step->text && *step->text &&
		       !strcmp(step->text, text_(checker, "text")),
	       "a token that its layers did not make");
	request->delivered++;
}

static void end_(checker_t *checker)
{
	request_t *request = request_(checker);
	gboolean is_no = !strcmp(text_(checker, "executed"), "no");
	gboolean is_own = strcmp(text_(checker, "refusal"),
				 "idempotency_key_reused") != 0;
	char *key = call_key_(checker);

	check_(checker, !request->is_ended, "a second end");
	request->is_ended = TRUE;
	request->was_told_no = is_no;
	if (is_no && is_own && *text_(checker, "key")) {
		int64_t *told_no = record_(checker->refused, g_strdup(key),
					   sizeof(*told_no));

		*told_no = checker->event_number;
		check_(checker, !g_hash_table_contains(checker->effects, key),
		       "a key that was called not run took effect");
	}
	g_free(key);
}

static void leaving_(checker_t *checker)
{
	int64_t *at_ms =
		record_(checker->leaving, g_strdup(text_(checker, "server")),
			sizeof(*at_ms));

	*at_ms = number_(checker, "at_ms");
}

static void event_(checker_t *checker)
{
	static const struct {
		cb_history_kind_t kind;
		void (*check)(checker_t *checker);
	} checks[] = {
		{ CB_HISTORY_ORDER, order_ },	  { CB_HISTORY_RUN, run_ },
		{ CB_HISTORY_EFFECT, effect_ },	  { CB_HISTORY_EPOCH, epoch_ },
		{ CB_HISTORY_DELIVER, deliver_ }, { CB_HISTORY_END, end_ },
		{ CB_HISTORY_LEAVING, leaving_ },
	};
	const char *kind = text_(checker, "kind");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(checks); i++)
		if (!strcmp(kind, cb_history_kind_string[checks[i].kind]))
			checks[i].check(checker);
}

/* Rules that only the whole history can tell. */
static void whole_check_(checker_t *checker)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, checker->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const request_t *request = value;

		check_(checker, !request->was_told_no || !request->has_run,
		       "a request that was called not run was run");
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
		.refused = g_hash_table_new_full(g_str_hash, g_str_equal,
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
		event_(&checker);
		if (checker.fault) {
			char *fault = checker.fault;

			checker.fault =
				g_strdup_printf("%s: %s", fault, list[i]);
			g_free(fault);
		}
	}
	if (!checker.fault)
		whole_check_(&checker);
	g_hash_table_unref(checker.requests);
	g_hash_table_unref(checker.steps);
	g_hash_table_unref(checker.effects);
	g_hash_table_unref(checker.refused);
	g_hash_table_unref(checker.leaving);
	g_object_unref(parser);
	g_strfreev(list);
	return checker.fault;
}
