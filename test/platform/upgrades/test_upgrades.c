#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak_platform.h"
#include "support_main.h"

/*
 * Replaces the processes of an earlier build by those of this one, one after the
 * other, while callers send requests and the configuration changes.
 * CB_UPGRADE_FROM names the commits of the earlier builds, separated by commas;
 * CB_ROWS the orders to play ("all", or some, separated by commas), CB_SEED and CB_SEEDS the first seed and the number
 * of runs of each; CB_KEEP keeps the logs.
 */
#define DEFAULT_COMMITS "4b09592"

#define CONTROL_COUNT 3
#define ENTRY_COUNT 3
#define SERVER_COUNT 6
#define STEP_MS 5
/* A replaced process serves within this time. */
#define REPLACED_MAX_MS 8000
/* Between two replacements. */
#define SETTLE_MS 700
#define CALM_MS 2500
/* A change is in force this long after its acknowledgement. */
#define APPLY_MAX_MS 2500
#define PROBE_GAP_MS 50
#define SERVED_MIN_PERCENT 99
#define STEPS_MAX 10

static const soak_setup_t setup = {
	.control_count = CONTROL_COUNT,
	.entry_count = ENTRY_COUNT,
	.server_count = SERVER_COUNT,
	.is_sound = TRUE,
	.has_version_routes = TRUE,
	.slots = 12,
	.heartbeat_ms = 1200,
	.server_heartbeat_ms = 800,
	.grace_s = 3,
	.timeout_ms = { 4000, 4000 },
	.target_latency_ms = { 800, 800 },
	.target_gap_ms = 500,
	.event_gap_max_ms = 3,
	.document_gap_min_ms = 500,
	.document_gap_max_ms = 900,
	/* All kinds on service "s". */
	.load = { .caller_count = 12,
		  .kind_count = SOAK_ONCE_OTHER,
		  .budget_ms = 5000,
		  .answer_margin_ms = 2000 },
};

/* What is done to a process. */
typedef enum action {
	ACTION_NONE,
	ACTION_NEW,  /* it is stopped and started as this build */
	ACTION_OLD,  /* it is stopped and started as the earlier build */
	ACTION_KILL, /* it is killed and started as it was */
	ACTION_WIPE, /* the same, with a blank disk */
} action_t;

/* A step of an order: one process, control instances before entries. */
typedef struct step {
	action_t action;
	unsigned int process;
} step_t;

#define CONTROL(i) (i)
#define ENTRY(i) (CONTROL_COUNT + (i))
#define SERVER(i) (CONTROL_COUNT + ENTRY_COUNT + (i))
/* The control instance that leads, and one of the others that is not yet new. */
#define LEADER 100
#define FOLLOWER 101

typedef struct row {
	const char *name;      /* in CB_ROWS */
	const char *test_name; /* failure that the row guards against */
	gboolean is_short;     /* played without CB_ROWS too */
	step_t steps[STEPS_MAX];
} row_t;

static const row_t rows[] = {
	{ .name = "entries_first",
	  .test_name = "upgraded_entries_serve_beside_older_control",
	  .is_short = TRUE,
	  .steps = { { ACTION_NEW, ENTRY(0) },
		     { ACTION_NEW, ENTRY(1) },
		     { ACTION_NEW, ENTRY(2) },
		     { ACTION_NEW, CONTROL(0) },
		     { ACTION_NEW, CONTROL(1) },
		     { ACTION_NEW, CONTROL(2) } } },
	{ .name = "control_first",
	  .test_name = "older_entries_keep_up_beside_upgraded_control",
	  .is_short = TRUE,
	  .steps = { { ACTION_NEW, CONTROL(2) },
		     { ACTION_NEW, CONTROL(1) },
		     { ACTION_NEW, CONTROL(0) },
		     { ACTION_NEW, ENTRY(0) },
		     { ACTION_NEW, ENTRY(1) },
		     { ACTION_NEW, ENTRY(2) } } },
	{ .name = "mixed",
	  .test_name = "mixed_upgrade_survives_a_kill",
	  .is_short = TRUE,
	  .steps = { { ACTION_NEW, CONTROL(0) },
		     { ACTION_NEW, ENTRY(0) },
		     { ACTION_KILL, CONTROL(1) },
		     { ACTION_NEW, CONTROL(1) },
		     { ACTION_NEW, ENTRY(1) },
		     { ACTION_KILL, ENTRY(0) },
		     { ACTION_NEW, ENTRY(2) },
		     { ACTION_NEW, CONTROL(2) } } },
	{ .name = "leader_first",
	  .test_name = "upgrade_that_begins_with_the_leader_loses_nothing",
	  .steps = { { ACTION_NEW, LEADER },
		     { ACTION_NEW, FOLLOWER },
		     { ACTION_KILL, SERVER(0) },
		     { ACTION_NEW, FOLLOWER },
		     { ACTION_NEW, ENTRY(0) },
		     { ACTION_NEW, ENTRY(1) },
		     { ACTION_NEW, ENTRY(2) } } },
	{ .name = "leader_last",
	  .test_name = "blank_disk_during_an_upgrade_loses_nothing",
	  .steps = { { ACTION_NEW, FOLLOWER },
		     { ACTION_WIPE, FOLLOWER },
		     { ACTION_NEW, ENTRY(0) },
		     { ACTION_NEW, FOLLOWER },
		     { ACTION_NEW, LEADER },
		     { ACTION_WIPE, CONTROL(0) },
		     { ACTION_NEW, ENTRY(1) },
		     { ACTION_NEW, ENTRY(2) } } },
	{ .name = "back",
	  .test_name = "upgrade_can_be_taken_back",
	  .steps = { { ACTION_NEW, CONTROL(0) },
		     { ACTION_NEW, ENTRY(0) },
		     { ACTION_NEW, CONTROL(1) },
		     { ACTION_OLD, CONTROL(0) },
		     { ACTION_OLD, ENTRY(0) },
		     { ACTION_OLD, CONTROL(1) },
		     { ACTION_NEW, CONTROL(1) },
		     { ACTION_NEW, ENTRY(2) } } },
};

/* A version of the document that control has acknowledged. */
typedef struct acknowledgement {
	int version;
	int64_t time_ms;
} acknowledgement_t;

/* A time in which an entry instance was not expected to serve. */
typedef struct absence {
	unsigned int entry;
	int64_t begin_ms;
	int64_t end_ms; /* 0: it lasts */
} absence_t;

typedef struct fixture {
	char *earlier_folder; /* with the programs of the earlier build */
	soak_setup_t setup;
	soak_t soak;
	soak_callers_t *callers;
	GArray *absences; /* absence_t */
	GMutex lock;
	GArray *acknowledgements; /* acknowledgement_t; guarded by `lock` */
	int is_stopping;	  /* atomic */
	GThread *editor;
	GThread *prober;
	/* Of the prober: its requests, and the answers by an old document. */
	unsigned int probe_count;
	unsigned int late_count;
	unsigned int old_read_count;
} fixture_t;

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

static void sleep_ms_(int64_t ms)
{
	g_usleep((unsigned long)ms * 1000);
}

/* Changes the document again and again. */
static void *documents_put_(void *data)
{
	fixture_t *fixture = data;
	soak_t *soak = &fixture->soak;

	while (!g_atomic_int_get(&fixture->is_stopping)) {
		int version = soak->version;

		if (soak_document_put(soak)) {
			acknowledgement_t acknowledgement = { version,
							      now_ms_() };

			g_mutex_lock(&fixture->lock);
			g_array_append_val(fixture->acknowledgements,
					   acknowledgement);
			g_mutex_unlock(&fixture->lock);
		}
		sleep_ms_(g_rand_int_range(soak->document_random,
					   setup.document_gap_min_ms,
					   setup.document_gap_max_ms));
	}
	return NULL;
}

/* Returns the last version acknowledged so long ago; 0: none yet. */
static int version_find_(fixture_t *fixture, int64_t age_ms)
{
	int64_t due_ms = now_ms_() - age_ms;
	int version = 0;
	unsigned int i;

	g_mutex_lock(&fixture->lock);
	for (i = 0; i < fixture->acknowledgements->len; i++) {
		const acknowledgement_t *acknowledgement =
			&g_array_index(fixture->acknowledgements,
				       acknowledgement_t, i);

		if (acknowledgement->time_ms <= due_ms)
			version = acknowledgement->version;
	}
	g_mutex_unlock(&fixture->lock);
	return version;
}

/* Asks an entry instance for the route that a version added; 0: no answer. */
static unsigned int version_probe_(const soak_t *soak, unsigned int entry,
				   int version)
{
	char *request = g_strdup_printf("GET /version-%d/probe HTTP/1.1\r\n"
					"Host: h\r\nX-Request-Id: probe\r\n"
					"X-Time-Budget: 2000\r\n"
					"Authorization: Bearer key\r\n\r\n",
					version);
	char *answer =
		support_request_exchange(soak->entry_addresses[entry], request);
	unsigned int status = support_answer_status(answer);

	g_free(answer);
	g_free(request);
	return status;
}

/* Checks that a control instance doesn't read an old document to operators. */
static void control_read_check_(fixture_t *fixture, unsigned int control)
{
	int acknowledged = version_find_(fixture, 0);
	char *answer =
		support_api_call(fixture->soak.control_addresses[control],
				 "GET", "/v1/config/get", "");
	const char *version = strstr(answer, "\"version\":");

	if (support_answer_status(answer) == 200 &&
	    (!version ||
	     atoi(version + strlen("\"version\":")) < acknowledged)) {
		fixture->old_read_count++;
		printf("    control %u reads a document before version %d\n",
		       control, acknowledged);
	}
	g_free(answer);
}

/* Checks again and again that no instance answers by an old document. */
static void *versions_probe_(void *data)
{
	fixture_t *fixture = data;
	unsigned int entry;

	for (entry = 0; !g_atomic_int_get(&fixture->is_stopping);
	     entry = (entry + 1) % ENTRY_COUNT) {
		int version = version_find_(fixture, APPLY_MAX_MS);

		sleep_ms_(PROBE_GAP_MS);
		control_read_check_(fixture, entry % CONTROL_COUNT);
		if (!version)
			continue;
		fixture->probe_count++;
		if (version_probe_(&fixture->soak, entry, version) != 404)
			continue;
		fixture->late_count++;
		printf("    entry %u has no route of version %d\n", entry,
		       version);
	}
	return NULL;
}

/* Lets processes go on for a time. */
static void time_pass_(fixture_t *fixture, int64_t duration_ms)
{
	int64_t end_ms = now_ms_() + duration_ms;

	while (now_ms_() < end_ms) {
		soak_processes_restore(&fixture->soak);
		sleep_ms_(STEP_MS);
	}
}

/* Returns whether a process serves: an entry requests, control changes. */
static gboolean process_serves_(fixture_t *fixture, unsigned int process)
{
	const soak_t *soak = &fixture->soak;

	if (!support_daemon_runs(soak->processes[process].daemon))
		return FALSE;
	if (process >= SERVER(0))
		return TRUE;
	if (process >= ENTRY(0))
		return version_probe_(soak, process - ENTRY(0), 1) == 200;
	return support_api_call_status(soak->control_addresses[process], "GET",
				       "/v1/config/get", "") == 200;
}

/* Returns whether the log of a control instance says last that it leads. */
static gboolean control_leads_(const fixture_t *fixture, unsigned int control)
{
	char *path = g_strdup_printf("%s/c%u.log", fixture->soak.group->folder,
				     control);
	char *text = NULL;
	const char *last;
	gboolean leads = FALSE;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		last = g_strrstr(text, "\"name\":\"ROLE_CHANGED\"");
		leads = last && g_str_has_prefix(strstr(last, "\"role\":"),
						 "\"role\":\"leader\"");
	}
	g_free(text);
	g_free(path);
	return leads;
}

/* Returns the process of a step. */
static unsigned int step_process_find_(const fixture_t *fixture,
				       const step_t *step)
{
	unsigned int found = 0;
	unsigned int i;

	if (step->process != LEADER && step->process != FOLLOWER)
		return step->process;
	for (i = 0; i < CONTROL_COUNT; i++) {
		gboolean is_earlier = g_str_has_prefix(
			fixture->soak.processes[i].daemon->program,
			fixture->earlier_folder);

		if (control_leads_(fixture, i) == (step->process == LEADER) &&
		    (is_earlier || step->process == LEADER))
			found = i;
	}
	return found;
}

/* Removes the data folder of a control instance. */
static void disk_clear_(const fixture_t *fixture, unsigned int control)
{
	char *folder =
		g_strdup_printf("%s/c%u", fixture->soak.group->folder, control);
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		CU_ASSERT_EQUAL(g_remove(path), 0);
		g_free(path);
	}
	CU_ASSERT_PTR_NOT_NULL(dir);
	if (dir)
		g_dir_close(dir);
	g_free(folder);
}

/* Takes one step and waits until its process serves again. */
static void step_take_(fixture_t *fixture, const step_t *step)
{
	unsigned int number = step_process_find_(fixture, step);
	soak_process_t *process = &fixture->soak.processes[number];
	gboolean is_kill =
		step->action == ACTION_KILL || step->action == ACTION_WIPE;
	gboolean is_entry = number >= ENTRY(0) && number < SERVER(0);
	int64_t begin_ms = now_ms_();
	unsigned int absence = fixture->absences->len;
	absence_t begun = { .entry = number - ENTRY(0), .begin_ms = begin_ms };

	if (is_entry)
		g_array_append_val(fixture->absences, begun);
	if (!is_kill)
		support_program_set_folder(process->daemon,
					   step->action == ACTION_OLD ?
						   fixture->earlier_folder :
						   support_programs_folder());
	soak_process_signal(&fixture->soak, process,
			    is_kill ? SIGKILL : SIGTERM, 0);
	while (support_daemon_runs(process->daemon))
		sleep_ms_(STEP_MS);
	if (step->action == ACTION_WIPE)
		disk_clear_(fixture, number);
	begin_ms = now_ms_();
	while (!process_serves_(fixture, number) &&
	       now_ms_() - begin_ms < REPLACED_MAX_MS)
		time_pass_(fixture, STEP_MS);
	CU_ASSERT_TRUE(now_ms_() - begin_ms < REPLACED_MAX_MS);
	if (now_ms_() - begin_ms >= REPLACED_MAX_MS)
		printf("    %s does not serve after its replacement\n",
		       process->daemon->name);
	if (is_entry)
		g_array_index(fixture->absences, absence_t, absence).end_ms =
			now_ms_();
	time_pass_(fixture, SETTLE_MS);
}

/* Returns whether a request's entry instance ran all the time. */
static gboolean entry_ran_(const fixture_t *fixture,
			   const soak_request_t *request)
{
	unsigned int i;

	for (i = 0; i < fixture->absences->len; i++) {
		const absence_t *absence =
			&g_array_index(fixture->absences, absence_t, i);

		if (absence->entry == request->entry &&
		    request->ended_ms >= absence->begin_ms &&
		    request->sent_ms <= absence->end_ms)
			return FALSE;
	}
	return TRUE;
}

/* Checks that nearly all requests at instances that run were served. */
static void served_check_(const fixture_t *fixture, const GPtrArray *requests)
{
	unsigned int served = 0;
	unsigned int sent = 0;
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const soak_request_t *request = requests->pdata[i];

		if (request->end == SOAK_END_LEFT ||
		    !entry_ran_(fixture, request))
			continue;
		sent++;
		served += request->end == SOAK_END_WHOLE &&
			  request->status == 200;
	}
	printf("    at instances that run %u of %u served\n", served, sent);
	CU_ASSERT_TRUE(sent > 0 && served * 100 >= sent * SERVED_MIN_PERCENT);
}

/* Starts all processes, those of the platform from the earlier build. */
static void processes_start_(fixture_t *fixture, uint32_t seed)
{
	fixture->setup = setup;
	fixture->setup.programs = fixture->earlier_folder;
	CU_ASSERT_TRUE_FATAL(soak_init(&fixture->soak, &fixture->setup, seed));
}

/* Plays one order from an earlier build. */
static void row_play_(const row_t *row, const char *earlier_folder,
		      uint32_t seed)
{
	fixture_t fixture = { 0 };
	GPtrArray *requests;
	unsigned int broken_count;
	unsigned int i;

	fixture.earlier_folder = g_strdup(earlier_folder);
	fixture.absences = g_array_new(FALSE, FALSE, sizeof(absence_t));
	fixture.acknowledgements =
		g_array_new(FALSE, FALSE, sizeof(acknowledgement_t));
	g_mutex_init(&fixture.lock);
	processes_start_(&fixture, seed);
	fixture.editor = g_thread_new("editor", documents_put_, &fixture);
	fixture.prober = g_thread_new("prober", versions_probe_, &fixture);
	fixture.callers = soak_callers_start(
		(const char *const *)fixture.soak.entry_addresses, &setup.load,
		seed);
	time_pass_(&fixture, SETTLE_MS);
	for (i = 0; i < STEPS_MAX && row->steps[i].action != ACTION_NONE; i++)
		step_take_(&fixture, &row->steps[i]);
	time_pass_(&fixture, CALM_MS);
	g_atomic_int_set(&fixture.is_stopping, 1);
	requests = soak_callers_stop(fixture.callers);
	g_thread_join(fixture.editor);
	g_thread_join(fixture.prober);
	broken_count = soak_check(requests, fixture.soak.effects_path, TRUE);
	printf("    %s, seed %u: %u requests, %u rules broken, %u versions, "
	       "%u of %u probes late, %u processes ended by themselves\n",
	       row->name, seed, requests->len, broken_count,
	       fixture.acknowledgements->len, fixture.late_count,
	       fixture.probe_count, fixture.soak.unexpected_exit_count);
	CU_ASSERT_EQUAL(broken_count, 0);
	CU_ASSERT_EQUAL(fixture.late_count, 0);
	CU_ASSERT_EQUAL(fixture.old_read_count, 0);
	CU_ASSERT_TRUE(fixture.acknowledgements->len > 0);
	CU_ASSERT_EQUAL(fixture.soak.unexpected_exit_count, 0);
	served_check_(&fixture, requests);
	g_ptr_array_unref(requests);
	soak_clear(&fixture.soak);
	g_mutex_clear(&fixture.lock);
	g_array_unref(fixture.acknowledgements);
	g_array_unref(fixture.absences);
	g_free(fixture.earlier_folder);
}

/* Plays a row from each earlier build. */
static void row_test_(const row_t *row)
{
	const char *commits = g_getenv("CB_UPGRADE_FROM");
	const char *first = g_getenv("CB_SEED");
	const char *count = g_getenv("CB_SEEDS");
	uint32_t seed = first ? (uint32_t)g_ascii_strtoull(first, NULL, 10) : 1;
	uint32_t end =
		seed +
		(count ? (uint32_t)g_ascii_strtoull(count, NULL, 10) : 1);
	char **list = g_strsplit(commits ? commits : DEFAULT_COMMITS, ",", 0);
	unsigned int i;

	for (i = 0; list[i]; i++) {
		char *programs = support_earlier_build(list[i]);
		uint32_t next;

		for (next = seed; programs && next < end; next++) {
			printf("    from %s\n", list[i]);
			row_play_(row, programs, next);
		}
		g_free(programs);
	}
	g_strfreev(list);
}

/* CUnit calls this for each row, in the order of the table. */
static void next_row_test_(void)
{
	const char *name = CU_get_current_test()->pName;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		if (!strcmp(rows[i].test_name, name))
			row_test_(&rows[i]);
}

int main(void)
{
	CU_TestInfo tests[G_N_ELEMENTS(rows) + 1] = { { NULL, NULL } };
	CU_SuiteInfo suites[] = { { .pName = "upgrades", .pTests = tests },
				  CU_SUITE_INFO_NULL };
	size_t count = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		if (support_row_is_chosen(rows[i].name, rows[i].is_short))
			tests[count++] = (CU_TestInfo){ rows[i].test_name,
							next_row_test_ };
	return support_run(suites);
}
