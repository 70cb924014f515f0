#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "currantbridge/program.h"
#include "support_entry.h"
#include "support_main.h"

/*
 * Complete deployments as real processes that are killed at random.  The tests
 * compare the effects in the backend servers' own logs with the answers that
 * the callers received.
 */
#define CONTROL_COUNT 3
#define ENTRY_COUNT 3
#define SERVICE_COUNT 3
#define ENGINE_COUNT 8
#define HARMLESS_COUNT 40
#define CRASHING_SENDS 20
#define LOST_ENGINES_MAX 3
#define CALLS_IN_FLIGHT_MAX 6
#define SENDS_PER_CALL_MAX 8
#define RESEND_DELAY_MS 150
#define KILL_INTERVAL_MS 150
#define CALL_TIMEOUT_MS 120000
#define DEFAULT_CALL_COUNT 300
#define ENTRY_SETTINGS "\"address_ttl_ms\":500,\"silence_ms\":1500"
#define SERVICE_ARGUMENTS \
	"--service bookings --token-ms 10 --answer-ms 40 --fencing "
#define ENGINE_ARGUMENTS \
	"--model ruling --layers 4 --capacity 200 --token-ms 20 "

/* A control group, entry instances and backend servers. */
typedef struct fixture {
	support_group_t *group;
	support_daemon_t *entries[ENTRY_COUNT + 1];
	support_backend_t *services[SERVICE_COUNT];
	GRand *random;
	SoupSession *session;
} fixture_t;

static const char *const service_arguments[SERVICE_COUNT] = {
	SERVICE_ARGUMENTS "yes", SERVICE_ARGUMENTS "yes", SERVICE_ARGUMENTS "no"
};

/* Returns the number in an environment variable, or `default_value`. */
static int env_number_read_(const char *name, int default_value)
{
	const char *text = g_getenv(name);

	return text ? (int)g_ascii_strtoll(text, NULL, 10) : default_value;
}

static void fixture_init_(fixture_t *fixture)
{
	int i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->random =
		g_rand_new_with_seed((uint32_t)env_number_read_("CB_SEED", 1));
	fixture->session =
		soup_session_new_with_options("proxy-resolver", NULL, "timeout",
					      20, "max-conns", 1000,
					      "max-conns-per-host", 500, NULL);
	fixture->group = support_group_new(CONTROL_COUNT, NULL);
	CU_ASSERT_TRUE_FATAL(support_wait_leader(fixture->group, 20000));
	support_contract_put(fixture->group, NULL);
	for (i = 0; i < ENTRY_COUNT; i++) {
		char *name = g_strdup_printf("entry%d", i + 1);

		fixture->entries[i] = support_entry_start(fixture->group, name,
							  ENTRY_SETTINGS);
		CU_ASSERT_TRUE_FATAL(support_wait_ready(fixture->entries[i]));
		g_free(name);
	}
}

static void fixture_clear_(fixture_t *fixture)
{
	soup_session_abort(fixture->session);
	g_object_unref(fixture->session);
	g_rand_free(fixture->random);
	support_group_delete(fixture->group);
}

static void service_start_(fixture_t *fixture, int number)
{
	char *name = g_strdup_printf("service%d", number + 1);

	fixture->services[number] =
		support_backend_start(fixture->group, name, fixture->entries,
				      service_arguments[number]);
	g_free(name);
}

/*
 * One call to the service "bookings", resent with its idempotency key until it
 * was sent at least twice and has succeeded, or was sent SENDS_PER_CALL_MAX
 * times.
 */
typedef struct booking {
	fixture_t *fixture;
	GMainLoop *loop;
	/* Number of unfinished bookings, shared by all bookings. */
	int *in_flight;
	char *key; /* idempotency key of the call */
	int sends;
	/* Number of the entry instance to try next, modulo ENTRY_COUNT. */
	int entry_number;
	gboolean is_over;
	/* Whether some answer left open if the call was executed. */
	gboolean may_have_run;
	char *body; /* body of the last successful answer, or NULL */
	gboolean has_different_body;
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
	(*booking->in_flight)--;
}

static gboolean answer_says_not_executed_(GBytes *answer)
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
			booking->has_different_body = TRUE;
		g_free(booking->body);
		booking->body = body;
	} else if (!answer_says_not_executed_(answer)) {
		booking->may_have_run = TRUE;
	}
	g_clear_pointer(&answer, g_bytes_unref);
	/* Every booking is sent at least twice: the answer to a resend after
	 * a success must be a replay of the same body. */
	if (booking->sends >= SENDS_PER_CALL_MAX ||
	    (booking->body && booking->sends > 1))
		booking_end_(booking);
	else
		g_timeout_add(RESEND_DELAY_MS, booking_resend_, booking);
}

static void booking_send_(booking_t *booking)
{
	fixture_t *fixture = booking->fixture;
	const char *address =
		fixture->entries[booking->entry_number++ % ENTRY_COUNT]->http;
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
	soup_session_send_and_read_async(fixture->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 booking_answered_, booking);
	g_bytes_unref(body);
	g_object_unref(message);
	g_free(uri);
}

/*
 * Kills a random entry instance, backend server or the leader of control, and
 * starts it again.
 */
static gboolean random_process_restart_(void *user_data)
{
	fixture_t *fixture = user_data;
	int number = g_rand_int_range(fixture->random, 0, 3);
	support_daemon_t *daemon;
	int leader;

	switch (g_rand_int_range(fixture->random, 0, 3)) {
	case 0:
		daemon = fixture->entries[number];
		support_daemon_kill(daemon);
		support_daemon_start(daemon);
		break;
	case 1:
		support_backend_delete(fixture->services[number]);
		service_start_(fixture, number);
		break;
	default:
		leader = support_group_leader(fixture->group);
		if (leader < 0)
			break;
		support_daemon_kill(fixture->group->control[leader]);
		support_daemon_start(fixture->group->control[leader]);
		break;
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Reads the log of one service and adds the number of executions of each key to
 * `counts`.
 */
static void executed_keys_count_(const char *path, GHashTable *counts)
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

/* Checks that the answers to one booking agree with its number of effects. */
static void booking_check_(const booking_t *booking, int effects)
{
	gboolean is_consistent = effects <= 1 && !booking->has_different_body &&
				 !(booking->body && !effects) &&
				 !(effects && !booking->may_have_run);

	CU_ASSERT_TRUE(is_consistent);
	if (!is_consistent)
		printf("    %s: %d effects, answer %s, %s\n", booking->key,
		       effects, booking->body ? booking->body : "none",
		       booking->may_have_run ? "may have been executed" :
					       "reported as not executed");
}

typedef struct in_flight_wait {
	int *in_flight;
	int in_flight_max;
} in_flight_wait_t;

static gboolean in_flight_is_at_most_(void *user_data)
{
	in_flight_wait_t *wait = user_data;

	return *wait->in_flight <= wait->in_flight_max;
}

/*
 * Sends non-idempotent calls while entry instances, services and the leader of
 * control are killed.  Each key must have at most one effect, and no answer may
 * contradict the services' logs.  The environment variables CB_CALLS and
 * CB_SEED set the number of calls and the random seed.
 */
static void calls_take_effect_at_most_once(void)
{
	int calls = env_number_read_("CB_CALLS", DEFAULT_CALL_COUNT);
	booking_t *bookings = g_new0(booking_t, calls);
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int in_flight = 0;
	in_flight_wait_t wait = { &in_flight, CALLS_IN_FLIGHT_MAX - 1 };
	int answered = 0;
	unsigned int restart_timer;
	fixture_t fixture;
	int i;

	fixture_init_(&fixture);
	for (i = 0; i < SERVICE_COUNT; i++)
		service_start_(&fixture, i);
	for (i = 0; i < ENTRY_COUNT; i++)
		CU_ASSERT_TRUE_FATAL(
			support_wait_ready_servers(fixture.entries[i],
						   SERVICE_COUNT));
	restart_timer = g_timeout_add(KILL_INTERVAL_MS, random_process_restart_,
				      &fixture);
	for (i = 0; i < calls; i++) {
		bookings[i].fixture = &fixture;
		bookings[i].in_flight = &in_flight;
		bookings[i].entry_number = i;
		bookings[i].key = g_strdup_printf("key-%d", i);
		CU_ASSERT_TRUE_FATAL(support_wait_until(in_flight_is_at_most_,
							&wait,
							CALL_TIMEOUT_MS));
		in_flight++;
		booking_send_(&bookings[i]);
	}
	wait.in_flight_max = 0;
	CU_ASSERT_TRUE_FATAL(support_wait_until(in_flight_is_at_most_, &wait,
						CALL_TIMEOUT_MS));
	g_source_remove(restart_timer);
	for (i = 0; i < SERVICE_COUNT; i++)
		executed_keys_count_(fixture.services[i]->effects_path, counts);
	for (i = 0; i < calls; i++) {
		booking_check_(&bookings[i],
			       GPOINTER_TO_INT(
				       g_hash_table_lookup(counts,
							   bookings[i].key)));
		answered += bookings[i].body != NULL;
		g_free(bookings[i].key);
		g_free(bookings[i].body);
	}
	printf("    %d calls: %d answered, %u executed\n", calls, answered,
	       g_hash_table_size(counts));
	CU_ASSERT_TRUE(answered > calls / 2);
	g_free(bookings);
	g_hash_table_unref(counts);
	for (i = 0; i < SERVICE_COUNT; i++)
		support_backend_delete(fixture.services[i]);
	fixture_clear_(&fixture);
}

static int lost_engines_count_(support_backend_t **engines)
{
	int lost_count = 0;
	int i;

	for (i = 0; i < ENGINE_COUNT; i++)
		lost_count += !g_subprocess_get_identifier(engines[i]->process);
	return lost_count;
}

/*
 * Sends the prompt that crashes its engine CRASHING_SENDS times, each time
 * through all entry instances at once.  Returns the status of the last answer.
 */
static unsigned int crashing_requests_send_(fixture_t *fixture)
{
	support_stream_t *streams[ENTRY_COUNT];
	unsigned int status = 0;
	int sends;
	int i;

	for (sends = 0; sends < CRASHING_SENDS; sends++) {
		for (i = 0; i < ENTRY_COUNT; i++)
			streams[i] =
				support_stream_start(fixture->entries[i]->http,
						     "KILL", 5);
		support_wait_streams(streams, ENTRY_COUNT, CALL_TIMEOUT_MS);
		for (i = 0; i < ENTRY_COUNT; i++) {
			status = streams[i]->status;
			support_stream_delete(streams[i]);
		}
	}
	return status;
}

/*
 * A request that crashes its server and is resent through three entry instances
 * at once must be quarantined before it has crashed more than three servers.
 * The concurrent streams of other requests must be complete.
 */
static void crashing_request_costs_at_most_three_servers(void)
{
	support_stream_t *harmless_streams[HARMLESS_COUNT];
	support_backend_t *engines[ENGINE_COUNT];
	fixture_t fixture;
	int lost_count;
	int i;

	fixture_init_(&fixture);
	for (i = 0; i < ENGINE_COUNT; i++) {
		char *name = g_strdup_printf("engine%d", i + 1);

		engines[i] = support_backend_start(fixture.group, name,
						   fixture.entries,
						   ENGINE_ARGUMENTS
						   "--crash-on KILL");
		g_free(name);
	}
	for (i = 0; i < ENTRY_COUNT; i++)
		CU_ASSERT_TRUE_FATAL(
			support_wait_ready_servers(fixture.entries[i],
						   ENGINE_COUNT));
	for (i = 0; i < HARMLESS_COUNT; i++) {
		char *prompt = g_strdup_printf("innocent %d", i);

		harmless_streams[i] = support_stream_start(
			fixture.entries[i % ENTRY_COUNT]->http, prompt, 150);
		g_free(prompt);
	}
	CU_ASSERT_EQUAL(crashing_requests_send_(&fixture),
			SOUP_STATUS_UNPROCESSABLE_ENTITY);
	support_wait_streams(harmless_streams, HARMLESS_COUNT, CALL_TIMEOUT_MS);
	for (i = 0; i < HARMLESS_COUNT; i++) {
		CU_ASSERT_TRUE(support_stream_is_complete(harmless_streams[i]));
		support_stream_delete(harmless_streams[i]);
	}
	lost_count = lost_engines_count_(engines);
	printf("    %d servers lost\n", lost_count);
	CU_ASSERT_TRUE(lost_count >= 1 && lost_count <= LOST_ENGINES_MAX);
	for (i = 0; i < ENGINE_COUNT; i++)
		support_backend_delete(engines[i]);
	fixture_clear_(&fixture);
}

static CU_TestInfo effects_tests[] = {
	{ "calls_take_effect_at_most_once", calls_take_effect_at_most_once },
	{ "crashing_request_costs_at_most_three_servers",
	  crashing_request_costs_at_most_three_servers },
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
