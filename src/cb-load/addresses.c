#include "load.h"

#include <json-glib/json-glib.h>

/* The addresses of the entry instances that serve one workspace. */
typedef struct answer {
	char **addresses;
	/* Expiry time of the addresses on the clock of the cache. */
	int64_t expires_ms;
} answer_t;

struct load_addresses {
	SoupSession *session;
	cb_clock_t *clock;
	char **entries;	     /* addresses of the entry instances to query */
	GHashTable *answers; /* workspace name -> answer_t */
};

/* A query for a workspace's addresses; it is freed after `on_done`. */
typedef struct lookup {
	load_addresses_t *addresses;
	char *workspace;
	uint64_t request_number;
	size_t tried_count; /* entry instances queried so far */
	load_addresses_fn_t on_done;
	void *user_data;
} lookup_t;

static void answer_delete_(void *data)
{
	answer_t *answer = data;

	g_strfreev(answer->addresses);
	g_free(answer);
}

/* Creates a cache of addresses that queries the given entry instances. */
load_addresses_t *load_addresses_new(SoupSession *session, cb_clock_t *clock,
				     char **entries)
{
	load_addresses_t *addresses = g_new0(load_addresses_t, 1);

	addresses->session = session;
	addresses->clock = clock;
	addresses->entries = g_strdupv(entries);
	addresses->answers = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, answer_delete_);
	return addresses;
}

/* Deletes a cache of addresses; no lookup may be in flight. */
void load_addresses_delete(load_addresses_t *addresses)
{
	g_strfreev(addresses->entries);
	g_hash_table_unref(addresses->answers);
	g_free(addresses);
}

/* Parses a list of addresses; returns NULL if it is malformed or empty. */
static answer_t *answer_parse_(const char *text, gssize size, int64_t now_ms)
{
	JsonParser *parser = json_parser_new();
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	answer_t *answer = NULL;
	JsonObject *object;
	JsonArray *array;
	unsigned int i;

	if (!json_parser_load_from_data(parser, text, size, NULL) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		goto out;
	object = json_node_get_object(json_parser_get_root(parser));
	if (!json_object_has_member(object, "addresses"))
		goto out;
	array = json_object_get_array_member(object, "addresses");
	for (i = 0; i < json_array_get_length(array); i++)
		g_ptr_array_add(list,
				g_strdup(json_array_get_string_element(array,
								       i)));
	if (!list->len)
		goto out;
	g_ptr_array_add(list, NULL);
	answer = g_new0(answer_t, 1);
	answer->addresses = (char **)g_ptr_array_free(list, FALSE);
	list = NULL;
	answer->expires_ms =
		now_ms +
		json_object_get_int_member_with_default(object, "ttl_ms", 1000);
out:
	if (list)
		g_ptr_array_unref(list);
	g_object_unref(parser);
	return answer;
}

static void lookup_finish_(lookup_t *lookup, const char *address)
{
	lookup->on_done(address, lookup->user_data);
	g_free(lookup->workspace);
	g_free(lookup);
}

static const char *answer_pick_address_(const answer_t *answer,
					uint64_t request_number)
{
	return answer
		->addresses[request_number % g_strv_length(answer->addresses)];
}

static void lookup_query_next_(lookup_t *lookup);

static void lookup_handle_answer_(GObject *source, GAsyncResult *result,
				  void *user_data)
{
	lookup_t *lookup = user_data;
	load_addresses_t *addresses = lookup->addresses;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, NULL);
	answer_t *answer = NULL;

	if (bytes)
		answer = answer_parse_(g_bytes_get_data(bytes, NULL),
				       (gssize)g_bytes_get_size(bytes),
				       cb_clock_now_ms(addresses->clock));
	g_clear_pointer(&bytes, g_bytes_unref);
	if (!answer) {
		lookup_query_next_(lookup);
		return;
	}
	g_hash_table_replace(addresses->answers, g_strdup(lookup->workspace),
			     answer);
	lookup_finish_(lookup,
		       answer_pick_address_(answer, lookup->request_number));
}

/* Queries the next entry instance; fails after all have been tried. */
static void lookup_query_next_(lookup_t *lookup)
{
	load_addresses_t *addresses = lookup->addresses;
	size_t count = g_strv_length(addresses->entries);
	SoupMessage *message;
	const char *entry;
	char *uri;

	if (lookup->tried_count == count) {
		lookup_finish_(lookup, NULL);
		return;
	}
	entry = addresses->entries[(lookup->request_number +
				    lookup->tried_count) %
				   count];
	lookup->tried_count++;
	uri = g_strdup_printf("http://%s/v1/addresses?workspace=%s", entry,
			      lookup->workspace);
	message = soup_message_new("GET", uri);
	soup_session_send_and_read_async(addresses->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 lookup_handle_answer_, lookup);
	g_object_unref(message);
	g_free(uri);
}

/*
 * Passes an address for a workspace's request of this number to `on_done`: at
 * once if the cached answer has not expired, else after querying the entry
 * instances in turn.  The address is NULL if none of them answers.
 */
void load_addresses_get(load_addresses_t *addresses, const char *workspace,
			uint64_t request_number, load_addresses_fn_t on_done,
			void *user_data)
{
	answer_t *answer = g_hash_table_lookup(addresses->answers, workspace);
	lookup_t *lookup;

	if (answer && answer->expires_ms > cb_clock_now_ms(addresses->clock)) {
		on_done(answer_pick_address_(answer, request_number),
			user_data);
		return;
	}
	lookup = g_new0(lookup_t, 1);
	lookup->addresses = addresses;
	lookup->workspace = g_strdup(workspace);
	lookup->request_number = request_number;
	lookup->on_done = on_done;
	lookup->user_data = user_data;
	lookup_query_next_(lookup);
}
