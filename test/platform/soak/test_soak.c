#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "soak_platform.h"
#include "support_main.h"

/*
 * Runs the platform's programs and backend servers as real processes on
 * loopback, with callers that keep their connections, and does something to the
 * processes by a seeded plan while the configuration changes.  CB_SEED,
 * CB_SEEDS and CB_SECONDS set the first seed, the number of runs and the time
 * of each, CB_SCALE (1 to 15) multiplies processes, callers and failures; CB_KEEP
 * keeps logs and the file of effects.
 */
#define SCALE_MAX 15
#define DEFAULT_SECONDS 20
#define STEP_MS 5
/* Calm at the end, in which requests must be served again. */
#define CALM_MS 4000
#define CALM_SERVED_MS 1500
#define FAULT_GAP_MAX_MS 400
#define PAUSE_MAX_MS 3000

/* Every so many seeds processes of an earlier build run beside this one's. */
#define UPGRADE_SEEDS 5
#define UPGRADE_COMMIT "4b09592"

#define SILENCE_SECONDS 12
#define SILENT_COUNT 4
#define SILENCE_MIN_MS 600
#define SILENCE_MAX_MS 1600
/* How long a server goes on before it falls silent again. */
#define AWAKE_MIN_MS 1000
#define SILENCE_CALM_MS 2000
#define SIGHUP_GAP_MIN_MS 500
#define SIGHUP_GAP_MAX_MS 2000
#define STOP_GAP_MIN_MS 2000
#define STOP_GAP_MAX_MS 5000
/* An entry ends this long before the grace time that it is given. */
#define GRACE_MARGIN_MS 1500

static const soak_setup_t failure_setup = {
	.control_count = 3,
	.entry_count = 4,
	.server_count = 6,
	.has_other_service = TRUE,
	.slots = 6,
	.heartbeat_ms = 300,
	.server_heartbeat_ms = 200,
	.grace_s = 3,
	.timeout_ms = { 900, 1200 },
	.target_latency_ms = { 150, 150 },
	.target_gap_ms = 100,
	.event_gap_max_ms = 3,
	.document_gap_min_ms = 700,
	.document_gap_max_ms = 701,
	.load = { .caller_count = 40,
		  .kind_count = SOAK_KIND_COUNT,
		  .budget_ms = 1500,
		  .answer_margin_ms = 500 },
};

static const soak_setup_t silence_setup = {
	.control_count = 1,
	.entry_count = 3,
	.server_count = 12,
	.is_sound = TRUE,
	.slots = 12,
	.heartbeat_ms = 1200,
	.server_heartbeat_ms = 800,
	.grace_s = 8,
	.timeout_ms = { 5000, 5000 },
	.target_latency_ms = { 780, 820 },
	.target_gap_ms = 500,
	.event_gap_max_ms = 60,
	.document_gap_min_ms = 300,
	.document_gap_max_ms = 1200,
	/* All kinds on service "s". */
	.load = { .caller_count = 60,
		  .kind_count = SOAK_ONCE_OTHER,
		  .budget_ms = 6000,
		  .answer_margin_ms = 2000 },
};

/* Losses of control instances, and the other events between them. */
#define LOSS_MIN 6
#define LOSS_MAX 7
#define EVENT_COUNT 8
#define REPLACE_MIN_MS 500
#define REPLACE_MAX_MS 1600
/* How long all processes run after an event before the next one. */
#define EVENT_GAP_MS 4000
#define DOCUMENT_REPEAT_MS 50
/* The time in which a change of the document is acknowledged. */
#define DOCUMENT_LIMIT_MS 4000
/* The time in which instances know the newest document once all is calm. */
#define DOCUMENT_READ_MS 4000

static const soak_setup_t replacement_setup = {
	.control_count = 5,
	.seed_count = 3,
	.entry_count = 2,
	.server_count = 3,
	.is_sound = TRUE,
	.has_version_routes = TRUE,
	.slots = 12,
	.heartbeat_ms = 1500,
	.server_heartbeat_ms = 500,
	.grace_s = 3,
	.timeout_ms = { 2000, 2500 },
	.target_latency_ms = { 300, 320 },
	.target_gap_ms = 300,
	.event_gap_max_ms = 20,
	.document_gap_min_ms = 300,
	.document_gap_max_ms = 1000,
	.document_wait_ms = 800,
	.load = { .caller_count = 12,
		  .kind_count = SOAK_ONCE_OTHER,
		  .budget_ms = 3000,
		  .answer_margin_ms = 1000 },
};

/* Which control instance is lost. */
typedef enum victim {
	VICTIM_ANY,
	VICTIM_LEADER,
	VICTIM_OLDEST, /* the seeds first */
} victim_t;

typedef struct replacement_row {
	const char *name;
	gboolean is_short;
	victim_t victim;
} replacement_row_t;

static const replacement_row_t replacement_rows[] = {
	{ .name = "any", .victim = VICTIM_ANY },
	{ .name = "leaders", .is_short = TRUE, .victim = VICTIM_LEADER },
	{ .name = "oldest", .victim = VICTIM_OLDEST },
};

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Returns whether a time of the plan has come, and then draws the next one. */
static gboolean is_due_(soak_t *soak, int64_t *next_ms, int gap_min_ms,
			int gap_max_ms)
{
	if (now_ms_() < *next_ms)
		return FALSE;
	*next_ms = now_ms_() +
		   g_rand_int_range(soak->random, gap_min_ms, gap_max_ms);
	return TRUE;
}

/* Does something to one process; what was done before may still last. */
static void fault_inject_(soak_t *soak)
{
	static const int signals[] = { SIGSTOP, SIGSTOP, SIGSTOP,
				       SIGKILL, SIGTERM, SIGHUP };
	soak_process_t *process =
		&soak->processes[g_rand_int_range(soak->random, 0,
						  (int)soak->process_count)];
	int number = signals[g_rand_int_range(soak->random, 0,
					      G_N_ELEMENTS(signals))];
	int pause_ms = g_rand_int_range(soak->random, 20, PAUSE_MAX_MS);

	/* A backend server ignores this signal. */
	if (number == SIGHUP && process >= soak_servers(soak))
		number = SIGKILL;
	soak_process_signal(soak, process, number, pause_ms);
}

/*
 * Pauses, kills, stops and reloads processes for a time, the more often the more
 * processes there are.
 */
static void failures_play_(soak_t *soak, int64_t duration_ms, int scale)
{
	int64_t end_ms = now_ms_() + duration_ms;
	int64_t next_fault_ms = 0;

	while (now_ms_() < end_ms) {
		soak_processes_restore(soak);
		if (is_due_(soak, &next_fault_ms, 0, FAULT_GAP_MAX_MS / scale))
			fault_inject_(soak);
		g_usleep(STEP_MS * 1000);
	}
}

/* Only restores processes for a time. */
static void calm_play_(soak_t *soak, int64_t duration_ms)
{
	int64_t end_ms = now_ms_() + duration_ms;

	while (now_ms_() < end_ms) {
		soak_processes_restore(soak);
		g_usleep(STEP_MS * 1000);
	}
}

/* Lets servers fall silent until SILENT_COUNT of them are. */
static void servers_silence_(soak_t *soak)
{
	int count = (int)soak->setup->server_count;
	int silent_count = 0;
	int i;

	for (i = 0; i < count; i++)
		silent_count += soak_servers(soak)[i].resume_ms != 0;
	while (silent_count < SILENT_COUNT) {
		soak_process_t *server = &soak_servers(
			soak)[g_rand_int_range(soak->random, 0, count)];

		if (server->resume_ms ||
		    now_ms_() - server->resumed_ms < AWAKE_MIN_MS)
			continue;
		soak_process_signal(soak, server, SIGSTOP,
				    g_rand_int_range(soak->random,
						     SILENCE_MIN_MS,
						     SILENCE_MAX_MS));
		silent_count++;
	}
}

/* Returns an entry by chance. */
static soak_process_t *entry_draw_(soak_t *soak)
{
	return &soak_entries(
		soak)[g_rand_int_range(soak->random, 0,
				       (int)soak->setup->entry_count)];
}

/*
 * Lets servers fall silent and go on for a time; with `has_stops`, entries also
 * get SIGHUP and SIGTERM, one or more at a time.
 */
static void silences_play_(soak_t *soak, int64_t duration_ms,
			   gboolean has_stops)
{
	int64_t end_ms = now_ms_() + duration_ms;
	int64_t next_reload_ms = 0;
	int64_t next_stop_ms = 0;

	while (now_ms_() < end_ms) {
		soak_processes_restore(soak);
		servers_silence_(soak);
		if (has_stops && is_due_(soak, &next_reload_ms,
					 SIGHUP_GAP_MIN_MS, SIGHUP_GAP_MAX_MS))
			soak_process_signal(soak, entry_draw_(soak), SIGHUP, 0);
		if (has_stops && is_due_(soak, &next_stop_ms, STOP_GAP_MIN_MS,
					 STOP_GAP_MAX_MS))
			soak_process_signal(soak, entry_draw_(soak), SIGTERM,
					    0);
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

/* The thread that changes the document. */
typedef struct editor {
	soak_t *soak;
	int is_stopping; /* atomic */
	GThread *thread; /* NULL: the document stays */
} editor_t;

/* Sends changes of the document until it is told to stop. */
static void *documents_put_(void *data)
{
	editor_t *editor = data;
	soak_t *soak = editor->soak;

	while (!g_atomic_int_get(&editor->is_stopping)) {
		(void)soak_document_put(soak);
		g_usleep((unsigned long)g_rand_int_range(
				 soak->document_random,
				 soak->setup->document_gap_min_ms,
				 soak->setup->document_gap_max_ms) *
			 1000);
	}
	return NULL;
}

static void editor_start_(editor_t *editor, soak_t *soak)
{
	*editor = (editor_t){ .soak = soak };
	editor->thread = g_thread_new("editor", documents_put_, editor);
}

static void editor_stop_(editor_t *editor)
{
	g_atomic_int_set(&editor->is_stopping, 1);
	if (editor->thread)
		g_thread_join(editor->thread);
}

static soak_callers_t *callers_start_(const soak_t *soak, uint32_t seed)
{
	return soak_callers_start((const char *const *)soak->entry_addresses,
				  &soak->setup->load, seed);
}

/* Returns the failure setup with `scale` times the entries, servers and callers. */
static soak_setup_t failure_setup_scale_(int scale)
{
	soak_setup_t setup = failure_setup;
	unsigned int factor = (unsigned int)scale;

	setup.entry_count *= factor;
	setup.server_count *= factor;
	setup.load.caller_count *= factor;
	/* By pairs, so that the number of control instances stays odd. */
	setup.control_count =
		MIN(setup.control_count + 2 * (factor - 1), SOAK_CONTROL_MAX);
	return setup;
}

/* Plays one run in which processes fail. */
static void failure_run_play_(uint32_t seed, int64_t seconds)
{
	editor_t editor;
	soak_t soak;
	soak_callers_t *callers;
	GPtrArray *requests;
	unsigned int broken_count;
	unsigned int served_count;
	int64_t calm_ms;
	int scale = (int)CLAMP(support_environment_number("CB_SCALE", 1), 1,
			       SCALE_MAX);
	soak_setup_t setup = failure_setup_scale_(scale);
	char *earlier = NULL;
	gboolean is_serving;

	if (seed % UPGRADE_SEEDS == 0)
		earlier = support_earlier_build(UPGRADE_COMMIT);
	setup.programs = earlier;
	setup.draws_build = earlier != NULL;
	is_serving = soak_init(&soak, &setup, seed);
	if (!is_serving)
		soak_clear(&soak);
	CU_ASSERT_TRUE_FATAL(is_serving);
	callers = callers_start_(&soak, seed);
	editor_start_(&editor, &soak);
	failures_play_(&soak, seconds * 1000, scale);
	calm_play_(&soak, CALM_MS);
	calm_ms = now_ms_() - CALM_SERVED_MS;
	requests = soak_callers_stop(callers);
	editor_stop_(&editor);
	broken_count = soak_check(requests, soak.effects_path, TRUE);
	served_count = served_count_(requests, calm_ms);
	CU_ASSERT_EQUAL(broken_count, 0);
	CU_ASSERT_TRUE(served_count > 0);
	CU_ASSERT_EQUAL(soak.unexpected_exit_count, 0);
	printf("    seed %u%s: %u requests, %u served, %u at the end, %u faults, "
	       "%u rules broken, %u processes ended by themselves\n",
	       seed, earlier ? ", two builds" : "", requests->len,
	       served_count_(requests, 0), served_count, soak.fault_count,
	       broken_count, soak.unexpected_exit_count);
	g_ptr_array_unref(requests);
	soak_clear(&soak);
	g_free(earlier);
}

/* Prints what became of the requests of each kind. */
static void tally_print_(const soak_tally_t *tally)
{
	int kind;
	int fate;

	for (kind = 0; kind < SOAK_KIND_COUNT; kind++) {
		printf("    %-12s", soak_routes[kind].prefix);
		for (fate = 0; fate < SOAK_FATE_COUNT; fate++)
			if (tally->counts[kind][fate])
				printf(" %u %s;", tally->counts[kind][fate],
				       soak_fate_string[fate]);
		printf("\n");
	}
}

/* Plays one run in which sound servers fall silent and go on. */
static void silence_run_play_(uint32_t seed, int64_t seconds,
			      gboolean has_documents, gboolean has_stops)
{
	editor_t editor = { 0 };
	soak_t soak;
	soak_limits_t limits = {
		.time_ms = silence_setup.timeout_ms[0],
		.grace_ms = silence_setup.grace_s * 1000 - GRACE_MARGIN_MS,
	};
	soak_tally_t tally;
	soak_callers_t *callers;
	GPtrArray *requests;
	unsigned int broken_count;
	unsigned int fault_count;
	gboolean is_serving;

	is_serving = soak_init(&soak, &silence_setup, seed);
	if (!is_serving)
		soak_clear(&soak);
	CU_ASSERT_TRUE_FATAL(is_serving);
	callers = callers_start_(&soak, seed);
	if (has_documents)
		editor_start_(&editor, &soak);
	silences_play_(&soak, seconds * 1000, has_stops);
	calm_play_(&soak, SILENCE_CALM_MS);
	requests = soak_callers_stop(callers);
	editor_stop_(&editor);
	limits.stops = soak.stops;
	broken_count = soak_check(requests, soak.effects_path, TRUE);
	fault_count = soak_check_fates(requests, soak.effects_path, &limits,
				       TRUE, &tally);
	CU_ASSERT_EQUAL(broken_count, 0);
	CU_ASSERT_EQUAL(fault_count, 0);
	CU_ASSERT_EQUAL(soak.unexpected_exit_count, 0);
	printf("    seed %u, %d versions of the document, %u stops: %u rules "
	       "broken, %u requests without their answer, %u processes ended "
	       "by themselves\n",
	       seed, soak.version - 1, soak.stops->len, broken_count,
	       fault_count, soak.unexpected_exit_count);
	tally_print_(&tally);
	g_ptr_array_unref(requests);
	soak_clear(&soak);
}

/* The thread that repeats each change of the document until it is acknowledged. */
typedef struct persistent_editor {
	soak_t *soak;
	int is_stopping; /* atomic */
	GThread *thread;
	int64_t start_ms;
	int64_t slowest_ms; /* the longest time that a change took */
	unsigned int late_count;
} persistent_editor_t;

/*
 * Sends the next change until it is acknowledged, or until its time is over and the
 * editor is told to stop.
 */
static void document_put_persistently_(persistent_editor_t *editor)
{
	int version = editor->soak->version;
	int64_t begun_ms = now_ms_();
	gboolean is_put;
	int64_t took_ms;

	for (;;) {
		is_put = soak_document_put(editor->soak);
		took_ms = now_ms_() - begun_ms;
		if (is_put || (took_ms > DOCUMENT_LIMIT_MS &&
			       g_atomic_int_get(&editor->is_stopping)))
			break;
		g_usleep(DOCUMENT_REPEAT_MS * 1000);
	}
	editor->slowest_ms = MAX(editor->slowest_ms, took_ms);
	if (is_put && took_ms <= DOCUMENT_LIMIT_MS)
		return;
	editor->late_count++;
	printf("    version %d, sent %d ms after the start: %s after %d ms\n",
	       version, (int)(begun_ms - editor->start_ms),
	       is_put ? "acknowledged" : "not acknowledged", (int)took_ms);
}

static void *documents_put_persistently_(void *data)
{
	persistent_editor_t *editor = data;
	const soak_setup_t *setup = editor->soak->setup;

	while (!g_atomic_int_get(&editor->is_stopping)) {
		document_put_persistently_(editor);
		g_usleep((unsigned long)
				 g_rand_int_range(editor->soak->document_random,
						  setup->document_gap_min_ms,
						  setup->document_gap_max_ms) *
			 1000);
	}
	return NULL;
}

/* Returns the control instance that is to be lost. */
static unsigned int victim_draw_(soak_t *soak, victim_t victim)
{
	unsigned int drawn =
		(unsigned int)g_rand_int_range(soak->random, 0,
					       (int)soak->setup->control_count);
	unsigned int oldest = 0;
	unsigned int i;
	int leader;

	switch (victim) {
	case VICTIM_LEADER:
		leader = soak_control_leader(soak);
		return leader >= 0 ? (unsigned int)leader : drawn;
	case VICTIM_OLDEST:
		for (i = 1; i < soak->setup->control_count; i++)
			if (soak->processes[i].started_ms <
			    soak->processes[oldest].started_ms)
				oldest = i;
		return oldest;
	case VICTIM_ANY:
		break;
	}
	return drawn;
}

/* Ends a control instance for good, and starts an empty one in its place. */
static void loss_play_(soak_t *soak, victim_t victim, int64_t start_ms)
{
	unsigned int control = victim_draw_(soak, victim);
	int gap_ms =
		g_rand_int_range(soak->random, REPLACE_MIN_MS, REPLACE_MAX_MS);

	printf("    %d ms: %s is lost\n", (int)(now_ms_() - start_ms),
	       soak->processes[control].daemon->name);
	soak_control_lose(soak, control);
	calm_play_(soak, gap_ms);
	soak_control_replace(soak, control);
	calm_play_(soak, EVENT_GAP_MS);
}

/* Pauses a control instance, or ends it and has it started with its data. */
static void interruption_play_(soak_t *soak, int64_t start_ms)
{
	soak_process_t *process = &soak->processes[g_rand_int_range(
		soak->random, 0, (int)soak->setup->control_count)];
	gboolean is_pause = g_rand_boolean(soak->random);

	printf("    %d ms: %s is %s\n", (int)(now_ms_() - start_ms),
	       process->daemon->name, is_pause ? "paused" : "restarted");
	soak_process_signal(soak, process, is_pause ? SIGSTOP : SIGKILL,
			    g_rand_int_range(soak->random, 20, PAUSE_MAX_MS));
	do
		calm_play_(soak, STEP_MS);
	while (process->resume_ms || !support_daemon_runs(process->daemon));
	calm_play_(soak, EVENT_GAP_MS);
}

/* Plays the losses, the first and the last event, with interruptions between. */
static unsigned int replacements_play_(soak_t *soak, victim_t victim,
				       int64_t start_ms)
{
	unsigned int loss_count =
		(unsigned int)g_rand_int_range(soak->random, LOSS_MIN,
					       LOSS_MAX + 1);
	unsigned int interruptions_left = EVENT_COUNT - loss_count;
	unsigned int i;

	calm_play_(soak, EVENT_GAP_MS);
	for (i = 0; i < loss_count; i++) {
		int places_left = (int)(loss_count - i);

		if (i && g_rand_int_range(soak->random, 0, places_left) <
				 (int)interruptions_left) {
			interruption_play_(soak, start_ms);
			interruptions_left--;
		}
		loss_play_(soak, victim, start_ms);
	}
	return loss_count;
}

/* What is to be known by all at the end of a run. */
typedef struct newest {
	soak_t *soak;
	unsigned int index; /* of a control instance or an entry */
	int version;	    /* that was acknowledged last */
	int read;	    /* by the control instance */
} newest_t;

static gboolean is_newest_read_(void *user_data)
{
	newest_t *newest = user_data;

	newest->read = soak_control_version(newest->soak, newest->index);
	/* The next one may be stored although its sender was not told. */
	return newest->read == newest->version ||
	       newest->read == newest->version + 1;
}

static gboolean is_newest_served_(void *user_data)
{
	const newest_t *newest = user_data;

	return soak_entry_has_version(newest->soak, newest->index,
				      newest->version);
}

/* Returns how many control instances and entries lack the newest document. */
static unsigned int newest_check_(soak_t *soak)
{
	newest_t newest = { .soak = soak, .version = soak->version - 1 };
	unsigned int lacking_count = 0;
	unsigned int i;

	for (i = 0; i < soak->setup->control_count; i++) {
		newest.index = i;
		if (support_wait_until(is_newest_read_, &newest,
				       DOCUMENT_READ_MS))
			continue;
		lacking_count++;
		printf("    %s reads version %d, acknowledged is %d\n",
		       soak->processes[i].daemon->name, newest.read,
		       newest.version);
	}
	for (i = 0; i < soak->setup->entry_count; i++) {
		newest.index = i;
		if (support_wait_until(is_newest_served_, &newest,
				       DOCUMENT_READ_MS))
			continue;
		lacking_count++;
		printf("    %s doesn't serve version %d\n",
		       soak_entries(soak)[i].daemon->name, newest.version);
	}
	return lacking_count;
}

/* Plays one run in which control instances are replaced in series. */
static void replacement_run_play_(const replacement_row_t *row, uint32_t seed)
{
	persistent_editor_t editor = { 0 };
	soak_t soak;
	soak_callers_t *callers;
	GPtrArray *requests;
	unsigned int loss_count;
	unsigned int broken_count;
	unsigned int served_count;
	unsigned int lacking_count;
	int64_t calm_ms;
	gboolean is_serving = soak_init(&soak, &replacement_setup, seed);

	if (!is_serving)
		soak_clear(&soak);
	CU_ASSERT_TRUE_FATAL(is_serving);
	callers = callers_start_(&soak, seed);
	editor.soak = &soak;
	editor.start_ms = now_ms_();
	editor.thread =
		g_thread_new("editor", documents_put_persistently_, &editor);
	loss_count = replacements_play_(&soak, row->victim, editor.start_ms);
	calm_ms = now_ms_() - CALM_SERVED_MS;
	g_atomic_int_set(&editor.is_stopping, 1);
	g_thread_join(editor.thread);
	requests = soak_callers_stop(callers);
	lacking_count = newest_check_(&soak);
	soak_processes_restore(&soak);
	broken_count = soak_check(requests, soak.effects_path, TRUE);
	served_count = served_count_(requests, calm_ms);
	CU_ASSERT_EQUAL(editor.late_count, 0);
	CU_ASSERT_EQUAL(lacking_count, 0);
	CU_ASSERT_EQUAL(broken_count, 0);
	CU_ASSERT_TRUE(served_count > 0);
	CU_ASSERT_EQUAL(soak.unexpected_exit_count, 0);
	printf("    %s, seed %u: %u losses, %d versions acknowledged, %u late, the "
	       "slowest after %d ms, %u instances lack the newest, %u requests, "
	       "%u served, %u at the end, %u rules broken, %u processes ended "
	       "by themselves\n",
	       row->name, seed, loss_count, soak.version - 1, editor.late_count,
	       (int)editor.slowest_ms, lacking_count, requests->len,
	       served_count_(requests, 0), served_count, broken_count,
	       soak.unexpected_exit_count);
	if (editor.late_count || lacking_count)
		soak.group->is_kept = TRUE;
	g_ptr_array_unref(requests);
	soak_clear(&soak);
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
	{ "a stream that may run only once ran twice",
	  { .id = "1", .key = "1", .kind = SOAK_STREAM, .status = 502 },
	  "1 s i-00000001 /stream/1\n1 s i-00000002 /stream/1\n",
	  1 },
	{ "a resumed stream ran twice",
	  { .id = "1",
	    .key = "1",
	    .kind = SOAK_STREAM_RESUMABLE,
	    .status = 502 },
	  "1 s i-00000001 /resumable/1\n1 s i-00000002 /resumable/1\n",
	  0 },
};

/* Returns the body of a stream: `count` events of key "1" from `first` on. */
static char *stream_body_write_(unsigned int first, unsigned int count)
{
	GString *body = g_string_new(NULL);
	unsigned int id;

	for (id = first; id < first + count; id++) {
		char *event = soak_stream_event("1", id);

		g_string_append(body, event);
		g_free(event);
	}
	return g_string_free(body, FALSE);
}

#define ALL_EVENTS 0

/* The events that a caller got of a stream, in two ranges. */
typedef struct stream_case {
	const char *description; /* printed if the check fails */
	soak_end_t end;
	unsigned int count;	   /* events from the first on; 0: all */
	unsigned int second_first; /* ... then from this one */
	unsigned int second_count; /* ... as many; 0: none */
	const char *rest;	   /* what follows them */
	unsigned int expected_broken;
} stream_case_t;

static const stream_case_t stream_cases[] = {
	{ "whole", SOAK_END_WHOLE, ALL_EVENTS, 0, 0, "", 0 },
	{ "cut after an event", SOAK_END_RESET, 7, 0, 0, "", 0 },
	{ "cut inside an event", SOAK_END_CLOSED, 7, 0, 0, "id: 7\nda", 0 },
	{ "cut before the last event", SOAK_END_RESET, 19, 0, 0, "", 0 },
	{ "incomplete, ends as complete", SOAK_END_WHOLE, 7, 0, 0, "", 1 },
	{ "ends as complete inside an event", SOAK_END_WHOLE, 7, 0, 0,
	  "id: 7\nda", 1 },
	{ "an event twice", SOAK_END_WHOLE, 7, 6, 10, "", 1 },
	{ "an event missing, then cut", SOAK_END_RESET, 7, 8, 4, "", 1 },
	{ "events out of order", SOAK_END_RESET, 7, 3, 2, "", 1 },
	{ "more after its end", SOAK_END_WHOLE, ALL_EVENTS, 0, 0, "id: 90\n",
	  1 },
	{ "an event of another stream", SOAK_END_RESET, 7, 0, 0,
	  "id: 7\ndata: 2 7 of 30\n\n", 1 },
};

/* Checks one record of a stream; returns how many rules it breaks. */
static unsigned int stream_case_check_(const stream_case_t *c, const char *path)
{
	char *first =
		stream_body_write_(0, c->count ? c->count :
						 soak_stream_event_count("1"));
	char *second = stream_body_write_(c->second_first, c->second_count);
	soak_request_t request = {
		.id = "1",
		.key = "1",
		.kind = SOAK_STREAM_RESUMABLE,
		.end = c->end,
		.begun_status = 200,
		.status = c->end == SOAK_END_WHOLE ? 200 : 0,
		.body = g_strconcat(first, second, c->rest, NULL),
	};
	GPtrArray *requests = g_ptr_array_new();
	unsigned int broken_count;

	g_ptr_array_add(requests, &request);
	broken_count = soak_check(requests, path, FALSE);
	g_ptr_array_unref(requests);
	g_free(request.body);
	g_free(second);
	g_free(first);
	return broken_count;
}

/* Checks all records of streams. */
static void stream_cases_check_(const char *path)
{
	size_t i;

	CU_ASSERT_TRUE(g_file_set_contents(path,
					   "1 s i-00000001 /resumable/1\n", -1,
					   NULL));
	for (i = 0; i < G_N_ELEMENTS(stream_cases); i++) {
		const stream_case_t *c = &stream_cases[i];
		unsigned int broken_count = stream_case_check_(c, path);

		CU_ASSERT_EQUAL(broken_count, c->expected_broken);
		if (broken_count != c->expected_broken)
			printf("    %s: %u\n", c->description, broken_count);
	}
}

/*
 * A request of a run with sound servers, a time limit of 5 s and a grace time
 * of 3 s; entry 1 got SIGTERM at 10 s and ended at 14 s.
 */
typedef struct fate_case {
	const char *description; /* printed if the check fails */
	soak_request_t request;
	gboolean has_run;
	soak_fate_t expected_fate;
} fate_case_t;

#define SPAN(from_ms, to_ms) \
	.sent_ms = (from_ms), .sent_whole_ms = (from_ms), .ended_ms = (to_ms)

static const fate_case_t fate_cases[] = {
	{ "served",
	  { .begun_status = 200, .status = 200, SPAN(0, 6000) },
	  TRUE,
	  SOAK_FATE_SERVED },
	{ "refused",
	  { .begun_status = 503, .status = 503, SPAN(0, 10) },
	  FALSE,
	  SOAK_FATE_REFUSED },
	{ "the caller left",
	  { .end = SOAK_END_LEFT, SPAN(0, 10) },
	  TRUE,
	  SOAK_FATE_LEFT },
	{ "504 at the time limit",
	  { .begun_status = 504, .status = 504, SPAN(0, 5001) },
	  TRUE,
	  SOAK_FATE_LATE_ANSWER },
	{ "cut at the time limit",
	  { .end = SOAK_END_RESET, .begun_status = 200, SPAN(0, 5001) },
	  TRUE,
	  SOAK_FATE_LATE_CUT },
	{ "reset before",
	  { .end = SOAK_END_RESET, .begun_status = 200, SPAN(0, 4990) },
	  TRUE,
	  SOAK_FATE_CUT_RESET },
	{ "closed before",
	  { .end = SOAK_END_CLOSED, .begun_status = 200, SPAN(0, 4990) },
	  TRUE,
	  SOAK_FATE_CUT_CLOSED },
	{ "an answer that never ends",
	  { .end = SOAK_END_SILENT, .begun_status = 200, SPAN(0, 7000) },
	  TRUE,
	  SOAK_FATE_CUT_CLOSED },
	{ "no answer at all",
	  { .end = SOAK_END_SILENT, SPAN(0, 7000) },
	  TRUE,
	  SOAK_FATE_UNANSWERED },
	{ "closed without an answer",
	  { .end = SOAK_END_CLOSED, SPAN(0, 10) },
	  FALSE,
	  SOAK_FATE_UNANSWERED },
	{ "closed without an answer after its time",
	  { .end = SOAK_END_CLOSED, SPAN(0, 5001) },
	  TRUE,
	  SOAK_FATE_UNANSWERED },
	{ "the connection failed while it was sent",
	  { .end = SOAK_END_UNSENT, SPAN(0, 10) },
	  FALSE,
	  SOAK_FATE_UNANSWERED },
	{ "502 before",
	  { .begun_status = 502, .status = 502, SPAN(0, 600) },
	  TRUE,
	  SOAK_FATE_EARLY_502 },
	{ "504 before",
	  { .begun_status = 504, .status = 504, SPAN(0, 600) },
	  TRUE,
	  SOAK_FATE_EARLY_504 },
	{ "404",
	  { .begun_status = 404, .status = 404, SPAN(0, 6) },
	  FALSE,
	  SOAK_FATE_OTHER_ERROR },
	{ "cut when its entry's grace time ended",
	  { .entry = 1,
	    .end = SOAK_END_RESET,
	    .begun_status = 200,
	    SPAN(9500, 13000) },
	  TRUE,
	  SOAK_FATE_STOPPED },
	{ "cut by a stopping entry in its grace time",
	  { .entry = 1,
	    .end = SOAK_END_RESET,
	    .begun_status = 200,
	    SPAN(9500, 12900) },
	  TRUE,
	  SOAK_FATE_CUT_RESET },
	{ "cut by another entry",
	  { .entry = 2,
	    .end = SOAK_END_RESET,
	    .begun_status = 200,
	    SPAN(9500, 13000) },
	  TRUE,
	  SOAK_FATE_CUT_RESET },
	{ "cut by an entry that was started again",
	  { .entry = 1,
	    .end = SOAK_END_RESET,
	    .begun_status = 200,
	    SPAN(14500, 17000) },
	  TRUE,
	  SOAK_FATE_CUT_RESET },
	{ "sent to a stopping entry, not run",
	  { .entry = 1, .end = SOAK_END_CLOSED, SPAN(10001, 10002) },
	  FALSE,
	  SOAK_FATE_UNREAD },
	{ "sent to a stopping entry, run, no answer",
	  { .entry = 1, .end = SOAK_END_CLOSED, SPAN(10001, 10200) },
	  TRUE,
	  SOAK_FATE_UNANSWERED },
	{ "sent whole before the stop, no answer",
	  { .entry = 1, .end = SOAK_END_CLOSED, SPAN(9900, 10200) },
	  FALSE,
	  SOAK_FATE_UNANSWERED },
};

/* Checks what is found of all records of requests to sound servers. */
static void fate_cases_check_(const char *path)
{
	const soak_stop_t stop = { 1, 10000, 14000 };
	soak_limits_t limits = { .time_ms = 5000, .grace_ms = 3000 };
	GArray *stops = g_array_new(FALSE, FALSE, sizeof(stop));
	size_t i;

	g_array_append_val(stops, stop);
	limits.stops = stops;
	for (i = 0; i < G_N_ELEMENTS(fate_cases); i++) {
		const fate_case_t *c = &fate_cases[i];
		soak_request_t request = c->request;
		GPtrArray *requests = g_ptr_array_new();
		unsigned int fault_count;
		soak_tally_t tally;

		g_strlcpy(request.id, "1", sizeof(request.id));
		g_ptr_array_add(requests, &request);
		CU_ASSERT_TRUE(g_file_set_contents(
			path, c->has_run ? "1 s i-00000001 /once/1\n" : "", -1,
			NULL));
		fault_count = soak_check_fates(requests, path, &limits, FALSE,
					       &tally);
		CU_ASSERT_EQUAL(tally.counts[SOAK_ONCE][c->expected_fate], 1);
		CU_ASSERT_EQUAL(fault_count,
				c->expected_fate >= SOAK_FATE_CUT_RESET);
		if (!tally.counts[SOAK_ONCE][c->expected_fate])
			printf("    not found: %s\n", c->description);
		g_ptr_array_unref(requests);
	}
	g_array_unref(stops);
}

/* How a process ended, and whether the test made it end so. */
typedef struct exit_case {
	const char *description; /* printed if the check fails */
	soak_exit_t process_exit;
	gboolean is_expected;
} exit_case_t;

static const exit_case_t exit_cases[] = {
	{ "killed", { .was_killed = TRUE, .signal_number = SIGKILL }, TRUE },
	{ "stopped", { .was_stopped = TRUE }, TRUE },
	{ "stopped at its start",
	  { .was_stopped = TRUE, .signal_number = SIGTERM },
	  TRUE },
	{ "ended by itself", { .exit_code = 0 }, FALSE },
	{ "failed by itself", { .exit_code = 1 }, FALSE },
	{ "aborted by itself", { .signal_number = SIGABRT }, FALSE },
	{ "killed, but not by the test", { .signal_number = SIGKILL }, FALSE },
	{ "aborted while it stopped",
	  { .was_stopped = TRUE, .signal_number = SIGABRT },
	  FALSE },
	{ "failed while it stopped",
	  { .was_stopped = TRUE, .exit_code = 1 },
	  FALSE },
};

/* Checks the ends of processes. */
static void exit_cases_check_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(exit_cases); i++) {
		const exit_case_t *c = &exit_cases[i];
		gboolean is_expected = soak_exit_is_expected(&c->process_exit);

		CU_ASSERT_EQUAL(is_expected, c->is_expected);
		if (is_expected != c->is_expected)
			printf("    %s: %d\n", c->description, is_expected);
	}
}

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
	stream_cases_check_(path);
	fate_cases_check_(path);
	exit_cases_check_();
	(void)remove(path);
	g_free(path);
}

/*
 * Whatever happens to the processes: a request that may run only once runs once
 * at most, one that is said not to have run has not, each runs only where its
 * route leads, and a success is the request's own whole answer.
 */
static void promises_hold_while_processes_fail(void)
{
	int64_t seed = support_environment_number("CB_SEED", 1);
	int64_t seeds = support_environment_number("CB_SEEDS", 1);
	int64_t seconds =
		support_environment_number("CB_SECONDS", DEFAULT_SECONDS);
	int64_t i;

	for (i = 0; i < seeds; i++)
		failure_run_play_((uint32_t)(seed + i), seconds);
}

/*
 * While sound servers fall silent and go on, each request gets its complete
 * answer, or a refusal.  CB_DOCUMENTS=0 keeps the document as it is; CB_STOPS=1
 * stops and reloads entries.
 */
static void silent_servers_do_not_cut_answers(void)
{
	int64_t seed = support_environment_number("CB_SEED", 1);
	int64_t seeds = support_environment_number("CB_SEEDS", 1);
	int64_t seconds =
		support_environment_number("CB_SECONDS", SILENCE_SECONDS);
	gboolean has_documents = support_environment_number("CB_DOCUMENTS", 1);
	gboolean has_stops = support_environment_number("CB_STOPS", 0);
	int64_t i;

	for (i = 0; i < seeds; i++)
		silence_run_play_((uint32_t)(seed + i), seconds, has_documents,
				  has_stops);
}

/*
 * While control instances end for good one after the other and empty ones come at
 * other addresses, changes of the document are acknowledged, none that was is lost,
 * and servers and entries find the instances that run.  CB_ROWS chooses rows.
 */
static void replaced_controls_keep_changes_accepted(void)
{
	int64_t seed = support_environment_number("CB_SEED", 1);
	int64_t seeds = support_environment_number("CB_SEEDS", 1);
	size_t row;
	int64_t i;

	for (row = 0; row < G_N_ELEMENTS(replacement_rows); row++) {
		const replacement_row_t *r = &replacement_rows[row];

		if (!support_row_is_chosen(r->name, r->is_short))
			continue;
		for (i = 0; i < seeds; i++)
			replacement_run_play_(r, (uint32_t)(seed + i));
	}
}

static CU_TestInfo soak_tests[] = { { "checks_find_each_broken_rule",
				      checks_find_each_broken_rule },
				    { "promises_hold_while_processes_fail",
				      promises_hold_while_processes_fail },
				    { "silent_servers_do_not_cut_answers",
				      silent_servers_do_not_cut_answers },
				    { "replaced_controls_keep_changes_accepted",
				      replaced_controls_keep_changes_accepted },
				    CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "soak", .pTests = soak_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
