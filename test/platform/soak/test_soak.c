#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"
#include "support_main.h"
#include "support_programs.h"

/*
 * Runs the platform's programs and backend servers as real processes on
 * loopback, with callers that keep their connections, and stops, pauses, kills
 * and restarts the processes by a seeded plan while the configuration changes.
 * CB_SEED, CB_SEEDS and CB_SECONDS set the first seed, the number of runs and
 * the time of each; CB_KEEP keeps logs and the file of effects.
 */
#define DEFAULT_SECONDS 20
#define CONTROL_COUNT 3
#define ENTRY_COUNT 4
#define SERVER_COUNT 6
#define PROCESS_COUNT (CONTROL_COUNT + ENTRY_COUNT + SERVER_COUNT)
#define CALLER_COUNT 24
#define START_TIMEOUT_MS 20000
#define HEARTBEAT_MS 300
#define STEP_MS 5
/* Calm at the end, in which requests must be served again. */
#define CALM_MS 4000
#define CALM_SERVED_MS 1500
#define FAULT_GAP_MAX_MS 400
#define PAUSE_MAX_MS 3000
#define RESTART_DELAY_MAX_MS 800
#define DOCUMENT_GAP_MS 700

#define ROUTE(prefix, kind, service)                                         \
	"{\"name\":\"" prefix "\",\"host\":\"h\",\"pathPrefix\":\"" prefix   \
	"\",\"kind\":\"" kind "\",\"timeoutMs\":%d,\"targetLatencyMs\":150," \
	"\"service\":\"" service "\",\"maxAttempts\":2}"
#define SERVICE(name)                                        \
	"{\"name\":\"" name "\",\"healthPath\":\"/health\"," \
	"\"maxConnections\":60}"
#define DOCUMENT                                                                                                                        \
	"{\"version\":%d,\"routes\":[" ROUTE("/once/", "unsafe", "s") "," ROUTE(                                                        \
		"/other/", "unsafe",                                                                                                    \
		"t") "," ROUTE("/safe/", "safe",                                                                                        \
			       "s") "],\"services\":[" SERVICE("s") "," SERVICE("t") "],\"limits\":{"                                   \
										     "\"maxHeaderBytes\":4096,\"maxBodyBytes\":64,"     \
										     "\"headerTimeoutMs\":300,\"idleTimeoutMs\":2000}," \
										     "\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"key\"]}]}"

/* A process and what the plan has done to it. */
typedef struct process {
	support_daemon_t *daemon;
	int64_t resume_ms;  /* when a pause ends; 0: it is not paused */
	int64_t restart_ms; /* when it is started again; 0: not yet known */
} process_t;

typedef struct soak {
	support_group_t *group;
	process_t processes[PROCESS_COUNT];
	char *control_addresses[CONTROL_COUNT];
	char *entry_addresses[ENTRY_COUNT + 1];
	char *effects_path;
	GRand *random;
	int version;
	int64_t next_document_ms;
	unsigned int fault_count;
} soak_t;

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

static void process_add_(soak_t *soak, unsigned int index,
			 support_daemon_t *daemon)
{
	soak->processes[index] = (process_t){ .daemon = daemon };
}

static void control_start_(soak_t *soak, unsigned int i, int internal_port,
			   const char *seeds)
{
	char *name = g_strdup_printf("c%u", i);
	char *ip = g_strdup_printf("127.0.0.%u", i + 2);
	GString *settings = support_program_settings(name, ip, internal_port,
						     seeds, HEARTBEAT_MS);

	g_string_append_printf(settings,
			       ",\"first_start\":true,"
			       "\"listen_control\":\"%s\","
			       "\"data_folder\":\"%s/%s\"",
			       soak->control_addresses[i], soak->group->folder,
			       name);
	process_add_(soak, i,
		     support_program_start(soak->group, "cb-platform-control",
					   name, settings));
	g_free(name);
	g_free(ip);
}

static void entry_start_(soak_t *soak, unsigned int i, int internal_port,
			 const char *seeds)
{
	char *name = g_strdup_printf("e%u", i);
	char *ip = g_strdup_printf("127.0.0.%u", i + 20);
	GString *settings = support_program_settings(name, ip, internal_port,
						     seeds, HEARTBEAT_MS);

	soak->entry_addresses[i] =
		g_strdup_printf("%s:%d", ip, (int)support_free_port());
	g_string_append_printf(settings,
			       ",\"grace_s\":3,\"address_ttl_s\":1,"
			       "\"listen_front\":\"%s\","
			       "\"listen_ready\":\"%s:%d\","
			       "\"listen_addresses\":\"%s:%d\"",
			       soak->entry_addresses[i], ip,
			       (int)support_free_port(), ip,
			       (int)support_free_port());
	process_add_(soak, CONTROL_COUNT + i,
		     support_program_start(soak->group, "cb-platform-entry",
					   name, settings));
	g_free(name);
	g_free(ip);
}

/* Starts a backend server; every third one is of service "t". */
static void server_start_(soak_t *soak, unsigned int i)
{
	char *name = g_strdup_printf("server%u", i);
	char *controls =
		g_strjoinv(",", (char *[]){ soak->control_addresses[0],
					    soak->control_addresses[1],
					    soak->control_addresses[2], NULL });
	GString *settings = g_string_new(NULL);

	g_string_printf(settings,
			"{\"address\":\"127.0.0.%u:%d\",\"service\":\"%s\","
			"\"control\":\"%s\",\"effects\":\"%s\"",
			i + 40, (int)support_free_port(), i % 3 ? "s" : "t",
			controls, soak->effects_path);
	process_add_(soak, CONTROL_COUNT + ENTRY_COUNT + i,
		     support_program_start(soak->group, "cb-soak-server", name,
					   settings));
	g_free(controls);
	g_free(name);
}

/* Sends the next version of the document to one control instance. */
static gboolean document_put_(soak_t *soak)
{
	int timeout_ms = soak->version % 2 ? 1200 : 900;
	char *body = g_strdup_printf(DOCUMENT, soak->version, timeout_ms,
				     timeout_ms, timeout_ms);
	int control = g_rand_int_range(soak->random, 0, CONTROL_COUNT);
	unsigned int status =
		support_api_call_status(soak->control_addresses[control],
					"POST", "/v1/config/put", body);

	g_free(body);
	if (status == 200)
		soak->version++;
	return status == 200;
}

static gboolean is_document_put_(void *user_data)
{
	return document_put_(user_data);
}

/* Returns whether a request at each entry instance is served. */
static gboolean are_entries_serving_(void *user_data)
{
	soak_t *soak = user_data;
	unsigned int i;

	for (i = 0; i < ENTRY_COUNT; i++) {
		char *answer = support_request_exchange(
			soak->entry_addresses[i],
			"GET /safe/start HTTP/1.1\r\nHost: h\r\n"
			"X-Request-Id: start\r\nX-Time-Budget: 1000\r\n"
			"Authorization: Bearer key\r\n\r\n");
		unsigned int status = support_answer_status(answer);

		g_free(answer);
		if (status != 200)
			return FALSE;
	}
	return TRUE;
}

static void soak_init_(soak_t *soak, uint32_t seed)
{
	GString *seeds = g_string_new(NULL);
	int internal_port = (int)support_free_port();
	unsigned int i;

	*soak = (soak_t){ .version = 1,
			  .random = g_rand_new_with_seed(seed),
			  .group = support_group_new(0, NULL) };
	soak->effects_path =
		g_build_filename(soak->group->folder, "effects", NULL);
	for (i = 0; i < CONTROL_COUNT; i++) {
		soak->control_addresses[i] =
			g_strdup_printf("127.0.0.%u:%d", i + 2,
					(int)support_free_port());
		g_string_append_printf(seeds, "%s\"%s\"", i ? "," : "",
				       soak->control_addresses[i]);
	}
	for (i = 0; i < CONTROL_COUNT; i++)
		control_start_(soak, i, internal_port, seeds->str);
	for (i = 0; i < ENTRY_COUNT; i++)
		entry_start_(soak, i, internal_port, seeds->str);
	for (i = 0; i < SERVER_COUNT; i++)
		server_start_(soak, i);
	g_string_free(seeds, TRUE);
	CU_ASSERT_TRUE_FATAL(
		support_wait_until(is_document_put_, soak, START_TIMEOUT_MS));
	CU_ASSERT_TRUE_FATAL(support_wait_until(are_entries_serving_, soak,
						START_TIMEOUT_MS));
}

static void soak_clear_(soak_t *soak)
{
	unsigned int i;

	support_group_delete(soak->group);
	for (i = 0; i < CONTROL_COUNT; i++)
		g_free(soak->control_addresses[i]);
	for (i = 0; i < ENTRY_COUNT; i++)
		g_free(soak->entry_addresses[i]);
	g_free(soak->effects_path);
	g_rand_free(soak->random);
}

/* Ends a pause that is over, and starts a process again that has ended. */
static void process_restore_(soak_t *soak, process_t *process)
{
	int64_t now_ms = now_ms_();

	if (process->resume_ms && now_ms >= process->resume_ms) {
		process->resume_ms = 0;
		if (support_daemon_runs(process->daemon))
			support_daemon_signal(process->daemon, SIGCONT);
	}
	if (support_daemon_runs(process->daemon))
		return;
	if (process->daemon->process) {
		(void)support_daemon_wait(process->daemon);
		process->restart_ms =
			now_ms +
			g_rand_int_range(soak->random, 0, RESTART_DELAY_MAX_MS);
	}
	if (now_ms >= process->restart_ms) {
		process->resume_ms = 0;
		support_daemon_start(process->daemon);
	}
}

/* Does something to one process; what was done before may still last. */
static void fault_inject_(soak_t *soak)
{
	static const int signals[] = { SIGSTOP, SIGSTOP, SIGSTOP,
				       SIGKILL, SIGTERM, SIGHUP };
	process_t *process = &soak->processes[g_rand_int_range(soak->random, 0,
							       PROCESS_COUNT)];
	int number = signals[g_rand_int_range(soak->random, 0,
					      G_N_ELEMENTS(signals))];
	int pause_ms = g_rand_int_range(soak->random, 20, PAUSE_MAX_MS);

	if (!support_daemon_runs(process->daemon))
		return;
	/* A backend server has no handler for this signal. */
	if (number == SIGHUP &&
	    process >= &soak->processes[CONTROL_COUNT + ENTRY_COUNT])
		number = SIGKILL;
	soak->fault_count++;
	support_daemon_signal(process->daemon, number);
	if (number == SIGSTOP)
		process->resume_ms = now_ms_() + pause_ms;
}

/* Plays the plan for a time; without faults, processes are only restored. */
static void plan_play_(soak_t *soak, int64_t duration_ms, gboolean has_faults)
{
	int64_t end_ms = now_ms_() + duration_ms;
	int64_t next_fault_ms = now_ms_();
	unsigned int i;

	while (now_ms_() < end_ms) {
		for (i = 0; i < PROCESS_COUNT; i++)
			process_restore_(soak, &soak->processes[i]);
		if (has_faults && now_ms_() >= next_fault_ms) {
			fault_inject_(soak);
			next_fault_ms =
				now_ms_() + g_rand_int_range(soak->random, 0,
							     FAULT_GAP_MAX_MS);
		}
		g_usleep(STEP_MS * 1000);
	}
}

/* Returns how many requests that were sent after a time got 200. */
static unsigned int served_count_(const GPtrArray *requests, int64_t after_ms)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const soak_request_t *request = requests->pdata[i];

		count += request->status == 200 && request->sent_ms > after_ms;
	}
	return count;
}

/* Sends changes of the document until it is told to stop. */
static void *documents_put_(void *data)
{
	soak_t *soak = ((void **)data)[0];
	const int *is_stopping = ((void **)data)[1];

	while (!g_atomic_int_get(is_stopping)) {
		(void)document_put_(soak);
		g_usleep(DOCUMENT_GAP_MS * 1000);
	}
	return NULL;
}

static void soak_play_(uint32_t seed, int64_t seconds)
{
	int is_stopping = 0;
	soak_t soak;
	void *operator_data[2] = { &soak, &is_stopping };
	soak_callers_t *callers;
	GThread *operator_thread;
	GPtrArray *requests;
	unsigned int broken_count;
	unsigned int served_count;
	int64_t calm_ms;

	soak_init_(&soak, seed);
	callers = soak_callers_start((const char *const *)soak.entry_addresses,
				     CALLER_COUNT, seed);
	operator_thread =
		g_thread_new("operator", documents_put_, operator_data);
	plan_play_(&soak, seconds * 1000, TRUE);
	plan_play_(&soak, CALM_MS, FALSE);
	calm_ms = now_ms_() - CALM_SERVED_MS;
	requests = soak_callers_stop(callers);
	g_atomic_int_set(&is_stopping, 1);
	g_thread_join(operator_thread);
	broken_count = soak_check(requests, soak.effects_path, TRUE);
	served_count = served_count_(requests, calm_ms);
	CU_ASSERT_EQUAL(broken_count, 0);
	CU_ASSERT_TRUE(served_count > 0);
	printf("    seed %u: %u requests, %u served, %u at the end, %u faults, "
	       "%u rules broken\n",
	       seed, requests->len, served_count_(requests, 0), served_count,
	       soak.fault_count, broken_count);
	g_ptr_array_unref(requests);
	soak_clear_(&soak);
}

/* A record of requests that breaks one rule, or none. */
typedef struct check_case {
	const char *description; /* printed if the check fails */
	soak_request_t request;
	const char *effects; /* lines of the file of effects */
	unsigned int expected_broken;
} check_case_t;

#define WHOLE_BODY "1 of i-00000001"

static const check_case_t check_cases[] = {
	{ "sound",
	  { .id = "1", .key = "1", .status = 200, .body = (char *)WHOLE_BODY },
	  "1 s i-00000001 /once/1\n",
	  0 },
	{ "refused and not run",
	  { .id = "1", .key = "1", .status = 503 },
	  "2 s i-00000001 /once/2\n",
	  0 },
	{ "an idempotent request that ran twice",
	  { .id = "1",
	    .key = "1",
	    .kind = SOAK_IDEMPOTENT,
	    .status = 200,
	    .body = (char *)WHOLE_BODY },
	  "1 s i-00000001 /safe/1\n1 s i-00000002 /safe/1\n",
	  0 },
	{ "ran twice",
	  { .id = "1", .key = "1", .status = 200, .body = (char *)WHOLE_BODY },
	  "1 s i-00000001 /once/1\n1 s i-00000002 /once/1\n",
	  1 },
	{ "ran though refused",
	  { .id = "1", .key = "1", .status = 429 },
	  "1 s i-00000001 /once/1\n",
	  1 },
	{ "ran again under its key",
	  { .id = "2",
	    .key = "1",
	    .status = 200,
	    .body = (char *)"2 of i-00000001" },
	  "1 s i-00000001 /once/1\n2 s i-00000001 /once/1\n",
	  1 },
	{ "ran on another service",
	  { .id = "1", .key = "1", .status = 502 },
	  "1 t i-00000001 /once/1\n",
	  1 },
	{ "a success that is cut",
	  { .id = "1",
	    .key = "1",
	    .status = 200,
	    .body = (char *)"1 of i-0000" },
	  "1 s i-00000001 /once/1\n",
	  1 },
	{ "a success of another request",
	  { .id = "1",
	    .key = "1",
	    .status = 200,
	    .body = (char *)"2 of i-00000001" },
	  "1 s i-00000001 /once/1\n",
	  1 },
	{ "a success without a run",
	  { .id = "1", .key = "1", .status = 200, .body = (char *)WHOLE_BODY },
	  "",
	  1 },
};

/* Each check of the soak must be able to fail. */
static void checks_find_each_broken_rule(void)
{
	char *path = NULL;
	size_t i;
	int fd = g_file_open_tmp("soak-XXXXXX", &path, NULL);

	CU_ASSERT_FATAL(fd >= 0);
	close(fd);
	for (i = 0; i < G_N_ELEMENTS(check_cases); i++) {
		const check_case_t *c = &check_cases[i];
		GPtrArray *requests = g_ptr_array_new();
		unsigned int broken_count;

		g_ptr_array_add(requests, (void *)&c->request);
		CU_ASSERT_TRUE(g_file_set_contents(path, c->effects, -1, NULL));
		broken_count = soak_check(requests, path, FALSE);
		CU_ASSERT_EQUAL(broken_count, c->expected_broken);
		if (broken_count != c->expected_broken)
			printf("    %s: %u\n", c->description, broken_count);
		g_ptr_array_unref(requests);
	}
	(void)remove(path);
	g_free(path);
}

/* Returns a number from the environment, or a default. */
static int64_t number_from_environment_(const char *name, int64_t fallback)
{
	const char *text = g_getenv(name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

/*
 * Whatever happens to the processes: a request that may run only once runs once
 * at most, one that is said not to have run has not, each runs only where its
 * route leads, and a success is the request's own whole answer.
 */
static void promises_hold_while_processes_fail(void)
{
	int64_t seed = number_from_environment_("CB_SEED", 1);
	int64_t seeds = number_from_environment_("CB_SEEDS", 1);
	int64_t seconds =
		number_from_environment_("CB_SECONDS", DEFAULT_SECONDS);
	int64_t i;

	for (i = 0; i < seeds; i++)
		soak_play_((uint32_t)(seed + i), seconds);
}

static CU_TestInfo soak_tests[] = { { "checks_find_each_broken_rule",
				      checks_find_each_broken_rule },
				    { "promises_hold_while_processes_fail",
				      promises_hold_while_processes_fail },
				    CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "soak", .pTests = soak_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
