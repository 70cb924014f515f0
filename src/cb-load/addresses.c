#include "load.h"

#include <json-glib/json-glib.h>

/* A workspace's addresses, until the answer expires. */
typedef struct answer {
	char **addresses;
	int64_t expires_ms;
} answer_t;

struct load_addresses {
	SoupSession *session;
	cb_clock_t *clock;
	char **entries;
	GHashTable *answers; /* workspace -> answer_t */
};

typedef struct question {
	load_addresses_t *book;
	char *workspace;
	uint64_t turn;
	size_t tried;
	load_addresses_fn_t done;
	void *user_data;
} question_t;

static void answer_delete_(void *data)
{
	answer_t *answer = data;

	g_strfreev(answer->addresses);
	g_free(answer);
}

/* Makes a book of addresses that asks the given entry instances. */
load_addresses_t *load_addresses_new(SoupSession *session, cb_clock_t *clock,
				     char **entries)
{
	load_addresses_t *book = g_new0(load_addresses_t, 1);

	book->session = session;
	book->clock = clock;
	book->entries = g_strdupv(entries);
	book->answers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      answer_delete_);
	return book;
}

/* Deletes a book; no question may be under way. */
void load_addresses_delete(load_addresses_t *book)
{
	g_strfreev(book->entries);
	g_hash_table_unref(book->answers);
	g_free(book);
}

/* Reads the system's answer; returns NULL if it is not one. */
static answer_t *answer_parse_(const char *text, gssize size, int64_t now_ms)
{
	JsonParser *parser = json_parser_new();
	GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
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
		g_ptr_array_add(addresses,
				g_strdup(json_array_get_string_element(array,
								       i)));
	if (!addresses->len)
		goto out;
	g_ptr_array_add(addresses, NULL);
	answer = g_new0(answer_t, 1);
	answer->addresses = (char **)g_ptr_array_free(addresses, FALSE);
	addresses = NULL;
	answer->expires_ms =
		now_ms +
		json_object_get_int_member_with_default(object, "ttl_ms", 1000);
out:
	if (addresses)
		g_ptr_array_unref(addresses);
	g_object_unref(parser);
	return answer;
}

static void question_end_(question_t *question, const char *address)
{
	question->done(address, question->user_data);
	g_free(question->workspace);
	g_free(question);
}

static const char *address_pick_(const answer_t *answer, uint64_t turn)
{
	return answer->addresses[turn % g_strv_length(answer->addresses)];
}

static void ask_next_(question_t *question);

static void answered_(GObject *source, GAsyncResult *result, void *user_data)
{
	question_t *question = user_data;
	load_addresses_t *book = question->book;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, NULL);
	answer_t *answer = NULL;

	if (bytes)
		answer = answer_parse_(g_bytes_get_data(bytes, NULL),
				       (gssize)g_bytes_get_size(bytes),
				       cb_clock_now_ms(book->clock));
	g_clear_pointer(&bytes, g_bytes_unref);
	if (!answer) {
		ask_next_(question);
		return;
	}
	g_hash_table_replace(book->answers, g_strdup(question->workspace),
			     answer);
	question_end_(question, address_pick_(answer, question->turn));
}

/* Asks the next entry instance, or gives up after all of them. */
static void ask_next_(question_t *question)
{
	load_addresses_t *book = question->book;
	size_t count = g_strv_length(book->entries);
	SoupMessage *message;
	const char *entry;
	char *uri;

	if (question->tried == count) {
		question_end_(question, NULL);
		return;
	}
	entry = book->entries[(question->turn + question->tried) % count];
	question->tried++;
	uri = g_strdup_printf("http://%s/v1/addresses?workspace=%s", entry,
			      question->workspace);
	message = soup_message_new("GET", uri);
	soup_session_send_and_read_async(book->session, message,
					 G_PRIORITY_DEFAULT, NULL, answered_,
					 question);
	g_object_unref(message);
	g_free(uri);
}

/* Gives an address for a workspace, at once if the last answer still holds. */
void load_addresses_get(load_addresses_t *book, const char *workspace,
			uint64_t turn, load_addresses_fn_t done,
			void *user_data)
{
	answer_t *answer = g_hash_table_lookup(book->answers, workspace);
	question_t *question;

	if (answer && answer->expires_ms > cb_clock_now_ms(book->clock)) {
		done(address_pick_(answer, turn), user_data);
		return;
	}
	question = g_new0(question_t, 1);
	question->book = book;
	question->workspace = g_strdup(workspace);
	question->turn = turn;
	question->done = done;
	question->user_data = user_data;
	ask_next_(question);
}
