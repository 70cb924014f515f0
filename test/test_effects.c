#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "currantbridge/program.h"
#include "support_entry.h"
#include "support_main.h"

/*
 * Whole deployments as real processes, killed at random: what the servers'
 * own logs say was executed is held against what the callers were told.
 */
#define CONTROLS 3
#define ENTRIES 3
#define SERVICES 3
#define ENGINES 8
#define INNOCENTS 40
#define KILLER_SENDS 20
#define MOST_LOST 3
#define SIDE_BY_SIDE 6
#define SENDS_MAX 8
#define RESEND_MS 150
#define KILL_INTERVAL_MS 150
#define CALL_LIMIT_MS 120000
#define DEFAULT_CALLS 300
#define SETTINGS "\"address_ttl_ms\":500,\"silence_ms\":1500"
#define SERVICE "--service bookings --token-ms 10 --answer-ms 40 --fencing "
#define ENGINE "--model ruling --layers 4 --capacity 200 --token-ms 20 "

typedef struct world {
	support_group_t *group;
	support_daemon_t *entries[ENTRIES + 1];
	support_backend_t *services[SERVICES];
	GRand *random;
	SoupSession *session;
} world_t;

static const char *const service_arguments[SERVICES] = { SERVICE "yes",
							 SERVICE "yes",
							 SERVICE "no" };

/* Returns a number from the environment, or `otherwise`. */
static int number_(const char *name, int otherwise)
{
	const char *text = g_getenv(name);

	return text ? (int)g_ascii_strtoll(text, NULL, 10) : otherwise;
}

static void world_init_(world_t *world)
{
	int i;

	memset(world, 0, sizeof(*world));
	world->random = g_rand_new_with_seed((uint32_t)number_("CB_SEED", 1));
	world->session =
		soup_session_new_with_options("proxy-resolver", NULL, "timeout",
					      20, "max-conns", 1000,
					      "max-conns-per-host", 500, NULL);
	world->group = support_group_new(CONTROLS, NULL);
	CU_ASSERT_TRUE_FATAL(support_wait_leader(world->group, 20000));
	support_contract_put(world->group, NULL);
	for (i = 0; i < ENTRIES; i++) {
		char *name = g_strdup_printf("entry%d", i + 1);

		world->entries[i] =
			support_entry_start(world->group, name, SETTINGS);
		CU_ASSERT_TRUE_FATAL(support_wait_ready(world->entries[i]));
		g_free(name);
	}
}

static void world_clear_(world_t *world)
{
	soup_session_abort(world->session);
	g_object_unref(world->session);
	g_rand_free(world->random);
	support_group_delete(world->group);
}

static void service_start_(world_t *world, int number)
{
	char *name = g_strdup_printf("service%d", number + 1);

	world->services[number] =
		support_backend_start(world->group, name, world->entries,
				      service_arguments[number]);
	g_free(name);
}

/* One booking: sent again under its key until it is answered for good. */
typedef struct booking {
	world_t *world;
	GMainLoop *loop;
	int *open;
	char *key;
	int sends;
	int entry;
	gboolean is_over;
	gboolean may_have_run; /* some answer did not exclude it */
	char *body;	       /* of the first answer of success */
	gboolean has_other_body;
} booking_t;

static void booking_send_(booking_t *booking);

static gboolean booking_resend_(void *user_data)
{
	booking_send_(user_data);
	return G_SOURCE_REMOVE;
}

static void booking_end_(booking_t *booking)
{
	booking->is_over = TRUE;
	(*booking->open)--;
}

static gboolean says_not_executed_(GBytes *answer)
{
	gsize size = 0;
	const char *text = answer ? g_bytes_get_data(answer, &size) : NULL;

	return text && g_strstr_len(text, (gssize)size, "\"executed\":\"no\"");
}

static void booking_answered_(GObject *source, GAsyncResult *result,
			      void *user_data)
{
	booking_t *booking = user_data;
	SoupSession *session = SOUP_SESSION(source);
	SoupMessage *message =
		soup_session_get_async_result_message(session, result);
	unsigned int status = soup_message_get_status(message);
	GBytes *answer =
		soup_session_send_and_read_finish(session, result, NULL);
	char *body;

	if (answer && status == SOUP_STATUS_OK) {
		body = g_strndup(g_bytes_get_data(answer, NULL),
				 g_bytes_get_size(answer));
		booking->may_have_run = TRUE;
		if (booking->body && strcmp(booking->body, body))
			booking->has_other_body = TRUE;
		g_free(booking->body);
		booking->body = body;
	} else if (!says_not_executed_(answer)) {
		booking->may_have_run = TRUE;
	}
	g_clear_pointer(&answer, g_bytes_unref);
	/* A success is asked for once more, to see that it is replayed. */
	if (booking->sends >= SENDS_MAX ||
	    (booking->body && booking->sends > 1))
		booking_end_(booking);
	else
		g_timeout_add(RESEND_MS, booking_resend_, booking);
}

static void booking_send_(booking_t *booking)
{
	world_t *world = booking->world;
	const char *address = world->entries[booking->entry++ % ENTRIES]->http;
	char *uri = g_strdup_printf("http://%s/v1/services/bookings/lodge",
				    address);
	SoupMessage *message = soup_message_new("POST", uri);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	GBytes *body = g_bytes_new(booking->key, strlen(booking->key));

	booking->sends++;
	soup_message_headers_replace(headers, "Authorization",
				     "Bearer " SUPPORT_KEY);
	soup_message_headers_replace(headers, "Idempotency-Key", booking->key);
	soup_message_set_request_body_from_bytes(message, "text/plain", body);
	soup_session_send_and_read_async(world->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 booking_answered_, booking);
	g_bytes_unref(body);
	g_object_unref(message);
	g_free(uri);
}

/* Kills one process at random and starts it again. */
static gboolean kill_one_(void *user_data)
{
	world_t *world = user_data;
	int number = g_rand_int_range(world->random, 0, 3);
	support_daemon_t *daemon;
	int leader;

	switch (g_rand_int_range(world->random, 0, 3)) {
	case 0:
		daemon = world->entries[number];
		support_daemon_kill(daemon);
		support_daemon_start(daemon);
		break;
	case 1:
		support_backend_delete(world->services[number]);
		service_start_(world, number);
		break;
	default:
		leader = support_leader(world->group);
		if (leader < 0)
			break;
		support_daemon_kill(world->group->control[leader]);
		support_daemon_start(world->group->control[leader]);
		break;
	}
	return G_SOURCE_CONTINUE;
}

/* Adds the executed keys of one service's log to `counts`. */
static void effects_count_(const char *path, GHashTable *counts)
{
	char *text = NULL;
	char **lines;
	char **line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (line = lines; *line; line++) {
		JsonNode *node = json_from_string(*line, NULL);
		const char *kind;
		char *key;
		int count;

		if (!node)
			continue;
		kind = json_object_get_string_member(json_node_get_object(node),
						     "kind");
		if (!strcmp(kind, "call")) {
			key = g_strdup(json_object_get_string_member(
				json_node_get_object(node), "key"));
			count = GPOINTER_TO_INT(
				g_hash_table_lookup(counts, key));
			g_hash_table_insert(counts, key,
					    GINT_TO_POINTER(count + 1));
		}
		json_node_unref(node);
	}
	g_strfreev(lines);
	g_free(text);
}

/* Holds one booking against the number of its effects. */
static void booking_check_(const booking_t *booking, int effects)
{
	gboolean is_right = effects <= 1 && !booking->has_other_body &&
			    !(booking->body && !effects) &&
			    !(effects && !booking->may_have_run);

	CU_ASSERT_TRUE(is_right);
	if (!is_right)
		printf("    %s: %d effects, answer %s, %s\n", booking->key,
		       effects, booking->body ? booking->body : "none",
		       booking->may_have_run ? "may have run" :
					       "was said not to have run");
}

typedef struct counted_wait {
	int *open;
	int most;
} counted_wait_t;

static gboolean has_room_(void *user_data)
{
	counted_wait_t *wait = user_data;

	return *wait->open <= wait->most;
}

/*
 * Non-idempotent calls while entry instances, services and the leader of
 * control are killed: at most one effect a key, and no answer that the
 * services' logs contradict.  CB_CALLS and CB_SEED choose number and seed.
 */
static void calls_take_effect_at_most_once(void)
{
	int calls = number_("CB_CALLS", DEFAULT_CALLS);
	booking_t *bookings = g_new0(booking_t, calls);
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int open = 0;
	counted_wait_t room = { &open, SIDE_BY_SIDE - 1 };
	int answered = 0;
	unsigned int killer;
	world_t world;
	int i;

	world_init_(&world);
	for (i = 0; i < SERVICES; i++)
		service_start_(&world, i);
	for (i = 0; i < ENTRIES; i++)
		CU_ASSERT_TRUE_FATAL(
			support_wait_servers(world.entries[i], SERVICES));
	killer = g_timeout_add(KILL_INTERVAL_MS, kill_one_, &world);
	for (i = 0; i < calls; i++) {
		bookings[i].world = &world;
		bookings[i].open = &open;
		bookings[i].entry = i;
		bookings[i].key = g_strdup_printf("key-%d", i);
		CU_ASSERT_TRUE_FATAL(
			support_wait(has_room_, &room, CALL_LIMIT_MS));
		open++;
		booking_send_(&bookings[i]);
	}
	room.most = 0;
	CU_ASSERT_TRUE_FATAL(support_wait(has_room_, &room, CALL_LIMIT_MS));
	g_source_remove(killer);
	for (i = 0; i < SERVICES; i++)
		effects_count_(world.services[i]->effects, counts);
	for (i = 0; i < calls; i++) {
		booking_check_(&bookings[i],
			       GPOINTER_TO_INT(
				       g_hash_table_lookup(counts,
							   bookings[i].key)));
		answered += bookings[i].body != NULL;
		g_free(bookings[i].key);
		g_free(bookings[i].body);
	}
	printf("    %d calls: %d answered, %u took effect\n", calls, answered,
	       g_hash_table_size(counts));
	CU_ASSERT_TRUE(answered > calls / 2);
	g_free(bookings);
	g_hash_table_unref(counts);
	for (i = 0; i < SERVICES; i++)
		support_backend_delete(world.services[i]);
	world_clear_(&world);
}

static int lost_engines_(support_backend_t **engines)
{
	int lost = 0;
	int i;

	for (i = 0; i < ENGINES; i++)
		lost += !g_subprocess_get_identifier(engines[i]->process);
	return lost;
}

/* Sends the prompt that ends its engine again and again. */
static unsigned int killer_send_(world_t *world)
{
	support_stream_t *killers[ENTRIES];
	unsigned int status = 0;
	int sends;
	int i;

	for (sends = 0; sends < KILLER_SENDS; sends++) {
		for (i = 0; i < ENTRIES; i++)
			killers[i] =
				support_stream_start(world->entries[i]->http,
						     "KILL", 5);
		support_wait_streams(killers, ENTRIES, CALL_LIMIT_MS);
		for (i = 0; i < ENTRIES; i++) {
			status = killers[i]->status;
			support_stream_delete(killers[i]);
		}
	}
	return status;
}

/*
 * A request that ends its server, sent again through three entry instances
 * at once, costs at most three servers; the streams beside it come whole.
 */
static void killer_costs_few_servers(void)
{
	support_stream_t *innocents[INNOCENTS];
	support_backend_t *engines[ENGINES];
	world_t world;
	int lost;
	int i;

	world_init_(&world);
	for (i = 0; i < ENGINES; i++) {
		char *name = g_strdup_printf("engine%d", i + 1);

		engines[i] =
			support_backend_start(world.group, name, world.entries,
					      ENGINE "--crash-on KILL");
		g_free(name);
	}
	for (i = 0; i < ENTRIES; i++)
		CU_ASSERT_TRUE_FATAL(
			support_wait_servers(world.entries[i], ENGINES));
	for (i = 0; i < INNOCENTS; i++) {
		char *prompt = g_strdup_printf("innocent %d", i);

		innocents[i] =
			support_stream_start(world.entries[i % ENTRIES]->http,
					     prompt, 150);
		g_free(prompt);
	}
	CU_ASSERT_EQUAL(killer_send_(&world), SOUP_STATUS_UNPROCESSABLE_ENTITY);
	support_wait_streams(innocents, INNOCENTS, CALL_LIMIT_MS);
	for (i = 0; i < INNOCENTS; i++) {
		CU_ASSERT_TRUE(support_stream_is_whole(innocents[i]));
		support_stream_delete(innocents[i]);
	}
	lost = lost_engines_(engines);
	printf("    %d servers lost\n", lost);
	CU_ASSERT_TRUE(lost >= 1 && lost <= MOST_LOST);
	for (i = 0; i < ENGINES; i++)
		support_backend_delete(engines[i]);
	world_clear_(&world);
}

static CU_TestInfo effects_tests[] = {
	{ "calls_take_effect_at_most_once", calls_take_effect_at_most_once },
	{ "killer_costs_few_servers", killer_costs_few_servers },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "effects",
				    .pTests = effects_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	return support_run(suites);
}
