#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "incident.h"
#include "support_main.h"
#include "support_programs.h"

/*
 * Runs the platform's programs as real processes on loopback, and checks that
 * streams which make progress at a sound server are neither cut nor sent again,
 * whatever happens to new connections, the document, and control and entry
 * instances beside.  CB_ROWS names the rows to play ("all", or some, separated
 * by commas), CB_SEED sets the seed, CB_SECONDS the time of each row; CB_KEEP
 * keeps the logs, and records of all requests and of their runs.
 */
#define START_TIMEOUT_MS 40000
#define HEARTBEAT_MS 1000
#define STEP_US 5000
#define CONTROL_MAX 9
#define ENTRY_MAX 26
#define CONTROL_IP 2
#define ENTRY_IP 20
#define WORKSPACES 24
#define TIME_BUDGET_MS 20000
/* What happens in a row begins after this time. */
#define BEFORE_MS 2000
/* A killed control instance is started again after this time. */
#define RESTART_MS 1500
/* The retry budget: RATIO of the requests, and what the rate adds. */
#define BUDGET_WINDOW_MS 10000
#define BUDGET_RATIO 0.2
#define BUDGET_EXTRA_S (314 / 190.0)
/*
 * A run whose last event is not older makes progress: 60% of the shortest pause
 * that a document of a row allows, after which a silent stream may be moved.
 */
#define PROGRESS_MAX_MS 120
/* Runs that were closed within this time after an event are printed too. */
#define BRIEF_MAX_MS 500

/* How the document changes from version to version; flags. */
typedef enum change {
	CHANGE_ROUTES = 1,   /* other routes come and go */
	CHANGE_STREAMS = 2,  /* the streams' times change */
	CHANGE_SERVICE = 4,  /* the streams' route is split, and moved back */
	CHANGE_MANY = 8,     /* many routes more */
	CHANGE_TENANTS = 16, /* keys and priorities of tenants */
	CHANGE_ENGINES = 32, /* the profile of engines */
	CHANGE_DROP = 64,    /* the route of streams is dropped for a version */
	CHANGE_ALL = 63,
} change_t;

typedef enum loss {
	LOSS_NONE,
	LOSS_KILL,  /* SIGKILL, and a start after RESTART_MS */
	LOSS_PAUSE, /* SIGSTOP for pause_ms */
} loss_t;

/* A row of the table; times of 0 mean that the event doesn't happen. */
typedef struct row {
	const char *name;      /* in CB_ROWS */
	const char *test_name; /* failure that the row guards against */
	gboolean is_short;     /* played without CB_ROWS too */
	unsigned int control_count;
	unsigned int entry_count;
	unsigned int server_count;
	unsigned int rate_per_s;
	unsigned int caller_count; /* in place of the rate, see incident.h */
	unsigned int event_count;
	int event_ms;
	int64_t duration_ms;
	gboolean are_engines;
	/* Listening sockets of servers are closed for this time in a period. */
	int64_t closed_ms;
	/* Servers accept no connections for this time in a period. */
	int64_t unaccepted_ms;
	/* All servers stand still for this time in a period. */
	int64_t stalled_ms;
	/* Each data centre's servers begin to so much later than the last's. */
	int64_t stagger_ms;
	/* Servers of service "s" turn requests away for this time in a period. */
	int64_t full_ms;
	/* Mean time between two pauses of a server, of random length. */
	int64_t pause_interval_ms;
	/* All entry instances are paused at once for this time in a period. */
	int64_t frozen_ms;
	int64_t period_ms;
	int backlog;
	unsigned int max_connections; /* of each server */
	unsigned int descriptors;     /* of each entry instance; 0: as usual */
	int64_t document_ms;	      /* between two documents */
	unsigned int changes;	      /* change_t */
	loss_t leader_loss;
	loss_t entry_loss;
	int64_t loss_ms; /* between two losses */
	int64_t pause_ms;
	unsigned int busy_threads;
} row_t;

static const row_t rows[] = {
	{ .name = "closed",
	  .test_name =
		  "running_streams_go_on_while_servers_refuse_new_connections",
	  .is_short = TRUE,
	  .control_count = 1,
	  .entry_count = 3,
	  .server_count = 9,
	  .rate_per_s = 40,
	  .event_count = 30,
	  .event_ms = 50,
	  .duration_ms = 6000,
	  .closed_ms = 2500,
	  .period_ms = 4000 },
	{ .name = "descriptors",
	  .test_name = "running_streams_go_on_while_descriptors_are_used_up",
	  .is_short = TRUE,
	  .control_count = 1,
	  .entry_count = 3,
	  .server_count = 9,
	  .rate_per_s = 70,
	  .event_count = 30,
	  .event_ms = 50,
	  .duration_ms = 6000,
	  .descriptors = 90 },
	{ .name = "kept_callers",
	  .test_name = "new_callers_are_answered_beside_kept_ones_without_"
		       "descriptors",
	  .is_short = TRUE,
	  .control_count = 1,
	  .entry_count = 3,
	  .server_count = 9,
	  .rate_per_s = 70,
	  .caller_count = 120,
	  .event_count = 30,
	  .event_ms = 50,
	  .duration_ms = 8000,
	  .descriptors = 90 },
	{ .name = "many_callers",
	  .test_name = "callers_without_a_descriptor_are_answered_in_time",
	  .is_short = TRUE,
	  .control_count = 1,
	  .entry_count = 3,
	  .server_count = 9,
	  .rate_per_s = 70,
	  .caller_count = 240,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 8000,
	  .descriptors = 90 },
	{ .name = "staggered",
	  .test_name = "staggered_stalls_of_data_centres_cut_no_stream",
	  .is_short = TRUE,
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 7000,
	  .stalled_ms = 450,
	  .stagger_ms = 120,
	  .period_ms = 2500 },
	{ .name = "uneven",
	  .test_name = "uneven_pauses_of_servers_end_no_running_attempt",
	  .is_short = TRUE,
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 7000,
	  .pause_interval_ms = 1500 },
	{ .name = "full",
	  .test_name = "streams_go_on_at_uneven_servers_while_all_are_full",
	  .is_short = TRUE,
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 7500,
	  .full_ms = 4000,
	  .pause_interval_ms = 1500,
	  .period_ms = 6000 },
	{ .name = "stalled",
	  .test_name = "brief_stall_of_all_servers_cuts_no_stream",
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 20000,
	  .stalled_ms = 350,
	  .period_ms = 4000 },
	{ .name = "long_stall",
	  .test_name = "stall_of_all_servers_cuts_no_stream",
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 20000,
	  .stalled_ms = 1000,
	  .period_ms = 5000 },
	{ .name = "frozen",
	  .test_name = "brief_freeze_of_all_entries_cuts_no_stream",
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 20000,
	  .frozen_ms = 350,
	  .period_ms = 4000 },
	{ .name = "calm",
	  .test_name = "streams_are_whole_at_the_deployments_size",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 20000 },
	{ .name = "documents",
	  .test_name = "documents_at_the_deployments_size_cut_no_stream",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 40000,
	  .document_ms = 700,
	  .changes = CHANGE_ALL & ~CHANGE_ENGINES },
	{ .name = "uneven_documents",
	  .test_name =
		  "late_servers_and_entries_at_the_deployments_size_end_no_"
		  "running_attempt",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 30000,
	  .pause_interval_ms = 3000,
	  .document_ms = 700,
	  .changes = CHANGE_ALL & ~CHANGE_ENGINES,
	  .entry_loss = LOSS_PAUSE,
	  .loss_ms = 100,
	  .pause_ms = 250 },
	{ .name = "dropped",
	  .test_name = "dropped_routes_cut_no_running_stream",
	  .control_count = 3,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 30000,
	  .document_ms = 1000,
	  .changes = CHANGE_ALL | CHANGE_DROP },
	{ .name = "leaders",
	  .test_name = "changes_of_leader_cut_no_stream",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 40000,
	  .document_ms = 1500,
	  .changes = CHANGE_ALL & ~CHANGE_ENGINES,
	  .leader_loss = LOSS_KILL,
	  .loss_ms = 5000 },
	{ .name = "paused_leaders",
	  .test_name = "pauses_of_the_leader_cut_no_stream",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 40000,
	  .document_ms = 1500,
	  .changes = CHANGE_ALL & ~CHANGE_ENGINES,
	  .leader_loss = LOSS_PAUSE,
	  .loss_ms = 6000,
	  .pause_ms = 3000 },
	{ .name = "engines",
	  .test_name = "documents_and_leaders_cut_no_stream_of_engines",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 40000,
	  .are_engines = TRUE,
	  .document_ms = 1500,
	  .changes = CHANGE_ALL,
	  .leader_loss = LOSS_KILL,
	  .loss_ms = 6000 },
	{ .name = "engines_paused_leaders",
	  .test_name = "pauses_of_the_leader_cut_no_stream_of_engines",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 40000,
	  .are_engines = TRUE,
	  .document_ms = 1500,
	  .changes = CHANGE_ALL,
	  .leader_loss = LOSS_PAUSE,
	  .loss_ms = 6000,
	  .pause_ms = 3000 },
	{ .name = "late_loops",
	  .test_name = "paused_entries_do_not_cut_streams_beside_documents",
	  .control_count = 3,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 30000,
	  .document_ms = 700,
	  .changes = CHANGE_ALL & ~CHANGE_ENGINES,
	  .entry_loss = LOSS_PAUSE,
	  .loss_ms = 1000,
	  .pause_ms = 400 },
	{ .name = "busy",
	  .test_name = "busy_machine_does_not_cut_streams_beside_documents",
	  .control_count = 9,
	  .entry_count = 26,
	  .server_count = 102,
	  .rate_per_s = 190,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 30000,
	  .document_ms = 700,
	  .changes = CHANGE_ALL & ~CHANGE_ENGINES,
	  .leader_loss = LOSS_KILL,
	  .loss_ms = 6000,
	  .busy_threads = 8 },
	{ .name = "engines_closed",
	  .test_name = "running_streams_of_engines_go_on_while_these_refuse_"
		       "new_connections",
	  .control_count = 1,
	  .entry_count = 3,
	  .server_count = 45,
	  .rate_per_s = 50,
	  .event_count = 30,
	  .event_ms = 50,
	  .duration_ms = 25000,
	  .are_engines = TRUE,
	  .closed_ms = 2500,
	  .period_ms = 6000 },
	{ .name = "engines_descriptors",
	  .test_name = "running_streams_of_engines_go_on_while_descriptors_"
		       "are_used_up",
	  .control_count = 1,
	  .entry_count = 3,
	  .server_count = 45,
	  .rate_per_s = 70,
	  .event_count = 30,
	  .event_ms = 50,
	  .duration_ms = 25000,
	  .are_engines = TRUE,
	  .descriptors = 90 },
	{ .name = "excess",
	  .test_name = "running_streams_go_on_at_servers_with_too_many_"
		       "connections",
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 9,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 25000,
	  .max_connections = 26 },
	{ .name = "unaccepted",
	  .test_name = "running_streams_go_on_while_servers_accept_late",
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 25000,
	  .unaccepted_ms = 2500,
	  .period_ms = 6000,
	  .backlog = 128 },
	{ .name = "overflow",
	  .test_name = "running_streams_go_on_while_accept_queues_are_full",
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 25000,
	  .unaccepted_ms = 2500,
	  .period_ms = 6000,
	  .backlog = 1 },
	{ .name = "brief_overflow",
	  .test_name = "running_streams_go_on_while_accept_queues_are_full_"
		       "briefly",
	  .control_count = 1,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 25000,
	  .unaccepted_ms = 400,
	  .period_ms = 2000,
	  .backlog = 1 },
	{ .name = "killed",
	  .test_name = "killed_entries_cut_only_their_own_streams",
	  .control_count = 3,
	  .entry_count = 6,
	  .server_count = 24,
	  .rate_per_s = 80,
	  .event_count = 71,
	  .event_ms = 45,
	  .duration_ms = 25000,
	  .entry_loss = LOSS_KILL,
	  .loss_ms = 3000 },
};

/* A process and what was done to it last. */
typedef struct process {
	support_daemon_t *daemon;
	char *metrics_address;
	int64_t resume_ms;  /* when a pause ends; 0: not paused */
	int64_t restart_ms; /* when it is started again; 0: it runs */
	unsigned int kill_count;
} process_t;

typedef struct fixture {
	const row_t *row;
	support_group_t *group;
	GRand *random;
	process_t control[CONTROL_MAX];
	process_t entries[ENTRY_MAX];
	char *control_addresses[CONTROL_MAX + 1];
	char *entry_addresses[ENTRY_MAX + 1];
	unsigned int serving_count;
	int version;
	unsigned int loss_count;
	gboolean is_frozen;
	incident_servers_t *servers;
	incident_callers_t *callers;
	GThread **busy;
	int is_stopped; /* atomic */
} fixture_t;

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Returns the settings that all processes share, with a data centre. */
static GString *settings_write_(const fixture_t *fixture, const char *name,
				const char *ip, unsigned int i,
				int internal_port, char **metrics_address)
{
	char *seeds = g_strjoinv("\",\"", (char **)fixture->control_addresses);
	char *list = g_strdup_printf("\"%s\"", seeds);
	GString *settings = support_program_settings(name, ip, internal_port,
						     list, HEARTBEAT_MS);
	char *data_centre = g_strdup_printf("\"data_centre\":\"z%u\"",
					    i % INCIDENT_DATA_CENTRES);
	const char *port = strstr(settings->str, "\"metrics_port\":") +
			   strlen("\"metrics_port\":");

	*metrics_address = g_strdup_printf("%s:%d", ip, atoi(port));
	(void)g_string_replace(settings, "\"data_centre\":\"z\"", data_centre,
			       1);
	g_free(data_centre);
	g_free(list);
	g_free(seeds);
	return settings;
}

static void control_start_(fixture_t *fixture, unsigned int i,
			   int internal_port)
{
	char *name = g_strdup_printf("c%u", i);
	char *ip = g_strdup_printf("127.0.0.%u", i + CONTROL_IP);
	process_t *process = &fixture->control[i];
	GString *settings = settings_write_(fixture, name, ip, i, internal_port,
					    &process->metrics_address);

	g_string_append_printf(settings,
			       ",\"first_start\":true,"
			       "\"listen_control\":\"%s\","
			       "\"data_folder\":\"%s/%s\"",
			       fixture->control_addresses[i],
			       fixture->group->folder, name);
	process->daemon =
		support_program_start(fixture->group, "cb-platform-control",
				      name, settings);
	g_free(ip);
	g_free(name);
}

static void entry_start_(fixture_t *fixture, unsigned int i, int internal_port)
{
	const row_t *row = fixture->row;
	char *name = g_strdup_printf("e%u", i);
	char *ip = g_strdup_printf("127.0.0.%u", i + ENTRY_IP);
	process_t *process = &fixture->entries[i];
	GString *settings = settings_write_(fixture, name, ip, i, internal_port,
					    &process->metrics_address);

	fixture->entry_addresses[i] =
		g_strdup_printf("%s:%d", ip, (int)support_free_port());
	g_string_append_printf(settings,
			       ",\"grace_s\":3,\"address_ttl_s\":1,"
			       "\"retry_window_s\":%d,\"retry_ratio\":%g,"
			       "\"retry_extra\":%d,"
			       "\"listen_front\":\"%s\","
			       "\"listen_ready\":\"%s:%d\","
			       "\"listen_addresses\":\"%s:%d\"",
			       BUDGET_WINDOW_MS / 1000, BUDGET_RATIO,
			       (int)(BUDGET_EXTRA_S * row->rate_per_s),
			       fixture->entry_addresses[i], ip,
			       (int)support_free_port(), ip,
			       (int)support_free_port());
	process->daemon =
		support_program_start(fixture->group, "cb-platform-entry", name,
				      settings);
	g_free(ip);
	g_free(name);
}

/* Starts the entry instances, with the row's limit of descriptors. */
static void entries_start_(fixture_t *fixture, int internal_port)
{
	const row_t *row = fixture->row;
	struct rlimit usual;
	struct rlimit lower;
	unsigned int i;

	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &usual), 0);
	lower = usual;
	for (i = 0; i < row->entry_count; i++)
		entry_start_(fixture, i, internal_port);
	if (!row->descriptors)
		return;
	lower.rlim_cur = row->descriptors;
	for (i = 0; i < row->entry_count; i++) {
		pid_t pid = (pid_t)atoi(g_subprocess_get_identifier(
			fixture->entries[i].daemon->process));

		CU_ASSERT_EQUAL(prlimit(pid, RLIMIT_NOFILE, &lower, NULL), 0);
	}
}

static void route_append_(GString *text, const char *name, const char *path,
			  const char *kind, const char *rest)
{
	g_string_append_printf(text,
			       "%s{\"name\":\"%s\",\"host\":\"h\","
			       "\"pathPrefix\":\"%s\",\"kind\":\"%s\","
			       "\"maxAttempts\":2,%s}",
			       text->str[text->len - 1] == '[' ? "" : ",", name,
			       path, kind, rest);
}

/* Appends the routes of streams, as the row has them change. */
static void stream_routes_append_(const fixture_t *fixture, GString *text)
{
	unsigned int changes = fixture->row->changes;
	gboolean is_odd = fixture->version % 2;
	const char *services =
		changes & CHANGE_SERVICE && is_odd ?
			"\"trafficSplit\":[{\"service\":\"s\",\"weight\":95},"
			"{\"service\":\"t\",\"weight\":5}]" :
			"\"service\":\"s\"";
	gboolean has_times = changes & CHANGE_STREAMS && is_odd;
	char *rest = g_strdup_printf(
		"\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"targetGapMs\":%d,"
		"\"sticky\":true,\"priority\":%d,%s",
		has_times ? 15000 : TIME_BUDGET_MS, has_times ? 300 : 500,
		has_times ? 200 : 250, changes & CHANGE_STREAMS && is_odd,
		services);
	char *resumable = g_strdup_printf("%s,\"resumable\":true", rest);

	if (!(changes & CHANGE_DROP) || fixture->version % 3 != 2)
		route_append_(text, "s", "/s/", "stream", resumable);
	route_append_(text, "u", "/u/", "stream", rest);
	g_free(resumable);
	g_free(rest);
}

static void routes_append_(const fixture_t *fixture, GString *text)
{
	unsigned int changes = fixture->row->changes;
	const char *call = "\"timeoutMs\":1500,\"targetLatencyMs\":300,"
			   "\"priority\":1,\"service\":\"t\"";
	unsigned int count = changes & CHANGE_MANY   ? 1040 :
			     changes & CHANGE_ROUTES ? 8 :
						       0;
	unsigned int i;

	stream_routes_append_(fixture, text);
	route_append_(text, "r", "/r/", "safe", call);
	route_append_(text, "o", "/o/", "unsafe", call);
	for (i = 0; i < count; i++) {
		unsigned int number =
			i + (unsigned int)fixture->version * 4 % 64;
		char *name = g_strdup_printf("n%u", number);
		char *path = g_strdup_printf("/n%u/", number);

		route_append_(text, name, path, "safe", call);
		g_free(path);
		g_free(name);
	}
}

/* Appends the profile of engines; the row may have its times change. */
static void engine_append_(const fixture_t *fixture, GString *text)
{
	gboolean is_changed =
		fixture->row->changes & CHANGE_ENGINES && fixture->version % 2;
	unsigned int i;

	g_string_append_printf(
		text,
		",\"engine\":{\"slots\":192,\"kvCacheTokens\":100000,"
		"\"kvTokenBytes\":459000,\"linkMbps\":480000,\"stride\":2,"
		"\"models\":[{\"name\":\"m\",\"pace\":1,\"loadS\":%d,"
		"\"warmS\":1}],\"step_ms\":0.85,\"per_seq_ms\":%g,"
		"\"context_per_k\":0.00398,\"read_per_s\":321000,"
		"\"pairs_per_m\":0.129,\"chunk\":512,\"report_lag_ms\":200,"
		"\"loadsPerS\":0,\"loads_at_once\":6,\"delays\":[],"
		"\"usual\":{\"prompt\":%d,\"answer\":142},\"layers\":%d,"
		"\"layerMb\":%d,\"activationBytes\":22900,\"pipeMbps\":4100,"
		"\"kinds\":[",
		INCIDENT_LOAD_S, is_changed ? 0.004 : 0.00297,
		is_changed ? 900 : 772, INCIDENT_LAYERS, INCIDENT_LAYER_MB);
	for (i = 0; i < INCIDENT_ACCELERATORS; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"%s\",\"mb\":%u,\"pace\":%g,\"readX\":%g}",
			i ? "," : "", incident_accelerators[i].name,
			incident_accelerators[i].memory_mb,
			incident_accelerators[i].step_time_factor,
			incident_accelerators[i].read_time_factor);
	g_string_append(text, "]}");
}

/* Appends the workspaces; every second version gives one of them a key more. */
static void workspaces_append_(const fixture_t *fixture, GString *text)
{
	gboolean is_changed =
		fixture->row->changes & CHANGE_TENANTS && fixture->version % 2;
	unsigned int i;

	for (i = 0; i < WORKSPACES; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"w%u\",\"apiKeys\":[\"key%u\"%s],"
			"\"priority\":%d}",
			i ? "," : "", i, i,
			is_changed && i == 3 ? ",\"more\"" : "",
			is_changed ? 2 : 1);
}

/* Returns the text of the document's next version, to be freed. */
static char *document_write_(const fixture_t *fixture)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%d,\"routes\":[", fixture->version);
	routes_append_(fixture, text);
	g_string_append(text, "],\"services\":[{\"name\":\"s\",\"healthPath\":"
			      "\"/health\",\"maxConnections\":1268");
	if (fixture->row->are_engines)
		engine_append_(fixture, text);
	g_string_append(text,
			"},{\"name\":\"t\",\"healthPath\":\"/health\","
			"\"maxConnections\":450}],\"limits\":{"
			"\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
			"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
			"\"tenants\":[");
	workspaces_append_(fixture, text);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static gboolean document_put_(fixture_t *fixture)
{
	char *body = document_write_(fixture);
	int control = g_rand_int_range(fixture->random, 0,
				       (int)fixture->row->control_count);
	unsigned int status =
		support_api_call_status(fixture->control_addresses[control],
					"POST", "/v1/config/put", body);

	g_free(body);
	if (status == 200)
		fixture->version++;
	return status == 200;
}

static gboolean is_document_put_(void *user_data)
{
	return document_put_(user_data);
}

/* Returns whether each entry instance has served a stream and a call. */
static gboolean are_entries_serving_(void *user_data)
{
	fixture_t *fixture = user_data;

	while (fixture->serving_count < fixture->row->entry_count) {
		const char *address =
			fixture->entry_addresses[fixture->serving_count];
		char *call = support_request_exchange(
			address,
			"GET /r/start HTTP/1.1\r\nHost: h\r\n"
			"X-Request-Id: start\r\nX-Time-Budget: 1000\r\n"
			"Authorization: Bearer key1\r\n"
			"Connection: close\r\n\r\n");
		char *stream = support_request_exchange(
			address,
			"POST /s/start HTTP/1.1\r\nHost: h\r\n"
			"X-Request-Id: start\r\nX-Time-Budget: 1000\r\n"
			"X-Model: m\r\nX-Token-Count: 800,142\r\n"
			"X-Prompt-Prefix: 5c1e07a2:40,a:760\r\n"
			"Authorization: Bearer key1\r\n"
			"Connection: close\r\nContent-Length: 0\r\n\r\n");
		gboolean is_served = support_answer_status(call) == 200 &&
				     support_answer_status(stream) == 200;

		g_free(stream);
		g_free(call);
		if (!is_served)
			return FALSE;
		fixture->serving_count++;
	}
	return TRUE;
}

static uint32_t seed_(void)
{
	const char *seed = g_getenv("CB_SEED");

	return seed ? (uint32_t)g_ascii_strtoull(seed, NULL, 10) : 1;
}

static void *busy_run_(void *data)
{
	const fixture_t *fixture = data;

	while (!g_atomic_int_get(&fixture->is_stopped))
		;
	return NULL;
}

static void servers_start_(fixture_t *fixture)
{
	const row_t *row = fixture->row;
	const incident_servers_setup_t setup = {
		.count = row->server_count,
		.other_count = 3,
		.max_connections = row->max_connections,
		.backlog = row->backlog ? row->backlog : 1024,
		.event_count = row->event_count,
		.event_ms = row->event_ms,
		.are_engines = row->are_engines,
		.heartbeat_ms = HEARTBEAT_MS,
		.pause_interval_ms = row->pause_interval_ms,
		.seed = seed_(),
	};

	fixture->servers =
		incident_servers_new(&setup, fixture->control_addresses);
}

static void fixture_init_(fixture_t *fixture, const row_t *row)
{
	const incident_callers_setup_t callers = {
		.rate_per_s = row->rate_per_s,
		.caller_count = row->caller_count,
		.event_count = row->event_count,
		.time_budget_ms = TIME_BUDGET_MS,
		.seed = seed_(),
	};
	int internal_port = (int)support_free_port();
	unsigned int i;

	*fixture = (fixture_t){ .row = row,
				.version = 1,
				.random = g_rand_new_with_seed(seed_()),
				.group = support_group_new(0, NULL) };
	for (i = 0; i < row->control_count; i++)
		fixture->control_addresses[i] =
			g_strdup_printf("127.0.0.%u:%d", i + CONTROL_IP,
					(int)support_free_port());
	for (i = 0; i < row->control_count; i++)
		control_start_(fixture, i, internal_port);
	entries_start_(fixture, internal_port);
	servers_start_(fixture);
	CU_ASSERT_TRUE_FATAL(support_wait_until(is_document_put_, fixture,
						START_TIMEOUT_MS));
	CU_ASSERT_TRUE_FATAL(support_wait_until(are_entries_serving_, fixture,
						START_TIMEOUT_MS));
	fixture->callers =
		incident_callers_new(&callers, fixture->entry_addresses);
	fixture->busy = g_new0(GThread *, row->busy_threads);
	for (i = 0; i < row->busy_threads; i++)
		fixture->busy[i] = g_thread_new("busy", busy_run_, fixture);
}

static void process_clear_(process_t *process)
{
	g_free(process->metrics_address);
}

static void fixture_clear_(fixture_t *fixture)
{
	unsigned int i;

	support_group_delete(fixture->group);
	for (i = 0; i < fixture->row->control_count; i++) {
		process_clear_(&fixture->control[i]);
		g_free(fixture->control_addresses[i]);
	}
	for (i = 0; i < fixture->row->entry_count; i++) {
		process_clear_(&fixture->entries[i]);
		g_free(fixture->entry_addresses[i]);
	}
	g_free(fixture->busy);
	g_rand_free(fixture->random);
}

/* Returns the control instance that says that it is the leader; NULL: none. */
static process_t *leader_find_(fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < fixture->row->control_count; i++) {
		process_t *process = &fixture->control[i];
		gboolean is_leader;
		char *text;

		if (process->resume_ms || process->restart_ms)
			continue;
		text = support_api_call(process->metrics_address, "GET",
					"/metrics", "");
		is_leader = strstr(text, "\ncb_control_leader 1\n") != NULL;
		g_free(text);
		if (is_leader)
			return process;
	}
	return NULL;
}

static void process_lose_(fixture_t *fixture, process_t *process, loss_t loss)
{
	if (!process || process->resume_ms || process->restart_ms)
		return;
	fixture->loss_count++;
	if (loss == LOSS_KILL) {
		support_daemon_kill(process->daemon);
		process->restart_ms = now_ms_() + RESTART_MS;
		process->kill_count++;
	} else {
		support_daemon_signal(process->daemon, SIGSTOP);
		process->resume_ms = now_ms_() + fixture->row->pause_ms;
	}
}

/* Ends a pause that is over, or starts a killed process again. */
static void process_restore_(process_t *process, gboolean is_end)
{
	int64_t now_ms = now_ms_();

	if (process->resume_ms && (is_end || now_ms >= process->resume_ms)) {
		support_daemon_signal(process->daemon, SIGCONT);
		process->resume_ms = 0;
	}
	if (process->restart_ms && (is_end || now_ms >= process->restart_ms)) {
		support_daemon_start(process->daemon);
		process->restart_ms = 0;
	}
}

static void processes_restore_(fixture_t *fixture, gboolean is_end)
{
	unsigned int i;

	for (i = 0; i < fixture->row->control_count; i++)
		process_restore_(&fixture->control[i], is_end);
	for (i = 0; i < fixture->row->entry_count; i++)
		process_restore_(&fixture->entries[i], is_end);
}

/* Pauses all entry instances, or lets them go on. */
static void entries_freeze_(fixture_t *fixture, gboolean is_frozen)
{
	unsigned int i;

	if (fixture->is_frozen == is_frozen)
		return;
	fixture->is_frozen = is_frozen;
	for (i = 0; i < fixture->row->entry_count; i++)
		support_daemon_signal(fixture->entries[i].daemon,
				      is_frozen ? SIGSTOP : SIGCONT);
}

/* Begins and ends what the row does in each of its periods. */
static void period_step_(fixture_t *fixture, int64_t elapsed_ms)
{
	const row_t *row = fixture->row;
	int64_t phase_ms;
	unsigned int i;

	if (!row->period_ms)
		return;
	phase_ms = elapsed_ms < BEFORE_MS ?
			   row->period_ms :
			   (elapsed_ms - BEFORE_MS) % row->period_ms;
	if (row->closed_ms)
		incident_servers_set_listening(fixture->servers,
					       phase_ms >= row->closed_ms);
	if (row->unaccepted_ms)
		incident_servers_set_accepting(fixture->servers,
					       phase_ms >= row->unaccepted_ms);
	if (row->full_ms)
		incident_servers_set_full(fixture->servers,
					  phase_ms < row->full_ms);
	for (i = 0; row->stalled_ms && i < INCIDENT_DATA_CENTRES; i++) {
		int64_t begin_ms = i * row->stagger_ms;

		incident_servers_set_stalled(
			fixture->servers, i,
			phase_ms >= begin_ms &&
				phase_ms < begin_ms + row->stalled_ms);
	}
	if (row->frozen_ms)
		entries_freeze_(fixture, phase_ms < row->frozen_ms);
}

static int64_t duration_ms_(const row_t *row)
{
	const char *seconds = g_getenv("CB_SECONDS");

	return seconds ? g_ascii_strtoll(seconds, NULL, 10) * 1000 :
			 row->duration_ms;
}

static void losses_step_(fixture_t *fixture)
{
	const row_t *row = fixture->row;

	if (row->leader_loss)
		process_lose_(fixture, leader_find_(fixture), row->leader_loss);
	if (row->entry_loss)
		process_lose_(
			fixture,
			&fixture->entries[g_rand_int_range(
				fixture->random, 0, (int)row->entry_count)],
			row->entry_loss);
}

static void row_play_(fixture_t *fixture)
{
	const row_t *row = fixture->row;
	int64_t begin_ms = now_ms_();
	int64_t duration_ms = duration_ms_(row);
	int64_t document_ms = BEFORE_MS;
	int64_t loss_ms = BEFORE_MS;
	unsigned int i;

	for (;;) {
		int64_t elapsed_ms = now_ms_() - begin_ms;

		if (elapsed_ms >= duration_ms)
			break;
		period_step_(fixture, elapsed_ms);
		processes_restore_(fixture, FALSE);
		if (row->document_ms && elapsed_ms >= document_ms) {
			(void)document_put_(fixture);
			document_ms = elapsed_ms + row->document_ms;
		}
		if (row->loss_ms && elapsed_ms >= loss_ms) {
			losses_step_(fixture);
			loss_ms = elapsed_ms + row->loss_ms;
		}
		g_usleep(STEP_US);
	}
	incident_servers_set_listening(fixture->servers, TRUE);
	incident_servers_set_accepting(fixture->servers, TRUE);
	incident_servers_set_full(fixture->servers, FALSE);
	for (i = 0; i < INCIDENT_DATA_CENTRES; i++)
		incident_servers_set_stalled(fixture->servers, i, FALSE);
	entries_freeze_(fixture, FALSE);
	processes_restore_(fixture, TRUE);
	g_atomic_int_set(&fixture->is_stopped, TRUE);
	for (i = 0; i < row->busy_threads; i++)
		g_thread_join(fixture->busy[i]);
}

/* Returns a text member's value or an integer of a log line; free it. */
static char *member_read_(const char *line, const char *member)
{
	char *pattern = g_strdup_printf("\"%s\":", member);
	const char *found = strstr(line, pattern);
	char *value = NULL;

	if (found) {
		found += strlen(pattern);
		found += *found == '"';
		value = g_strndup(found, strcspn(found, "\",}"));
	}
	g_free(pattern);
	return value;
}

/* Counts a log line, by its event's name, result, reason and state. */
static void line_count_(GHashTable *counts, const char *line)
{
	static const char *const members[] = { "result", "reason", "state",
					       "is_cut" };
	GString *key = g_string_new(NULL);
	char *name = member_read_(line, "name");
	size_t i;

	g_string_append(key, name ? name : "?");
	for (i = 0; name && g_str_has_prefix(name, "RELAY_") &&
		    i < G_N_ELEMENTS(members);
	     i++) {
		char *value = member_read_(line, members[i]);

		if (value)
			g_string_append_printf(key, " %s=%s", members[i],
					       value);
		g_free(value);
	}
	g_free(name);
	name = g_string_free(key, FALSE);
	g_hash_table_insert(counts, name,
			    GUINT_TO_POINTER(
				    GPOINTER_TO_UINT(
					    g_hash_table_lookup(counts, name)) +
				    1));
}

static void log_count_(const fixture_t *fixture, GHashTable *counts,
		       const char *name)
{
	char *path = g_strdup_printf("%s/%s.log", fixture->group->folder, name);
	char *text = NULL;
	char **lines;
	unsigned int i;

	CU_ASSERT_TRUE_FATAL(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", 0);
	for (i = 0; lines[i]; i++)
		if (*lines[i])
			line_count_(counts, lines[i]);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}

static int text_compare_(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Prints how often each event is in the logs of all instances. */
static void logs_print_(const fixture_t *fixture)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	unsigned int count;
	unsigned int i;
	char **keys;

	for (i = 0; i < fixture->row->control_count; i++)
		log_count_(fixture, counts, fixture->control[i].daemon->name);
	for (i = 0; i < fixture->row->entry_count; i++)
		log_count_(fixture, counts, fixture->entries[i].daemon->name);
	keys = (char **)g_hash_table_get_keys_as_array(counts, &count);
	qsort(keys, count, sizeof(*keys), text_compare_);
	for (i = 0; i < count; i++)
		printf("      %s: %u\n", keys[i],
		       GPOINTER_TO_UINT(g_hash_table_lookup(counts, keys[i])));
	g_free(keys);
	g_hash_table_unref(counts);
}

/* Checks how the streams that had begun have ended for their callers. */
static void answers_check_(const fixture_t *fixture, const GPtrArray *requests)
{
	static const char *const kinds[INCIDENT_KIND_COUNT] = {
		"resumable streams", "other streams", "safe calls",
		"unsafe calls"
	};
	unsigned int counts[INCIDENT_KIND_COUNT][INCIDENT_END_COUNT] = { 0 };
	unsigned int begun[INCIDENT_KIND_COUNT][INCIDENT_END_COUNT] = { 0 };
	unsigned int cut = 0;
	unsigned int kind;
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const incident_request_t *request = requests->pdata[i];

		counts[request->kind][request->end]++;
		begun[request->kind][request->end] += request->has_begun;
	}
	for (kind = 0; kind < INCIDENT_KIND_COUNT; kind++) {
		printf("    %s: whole %u, refused %u; begun and then reset %u, "
		       "closed %u, left %u, wrong %u; not begun and reset %u, "
		       "closed %u, left %u, pending %u\n",
		       kinds[kind], counts[kind][INCIDENT_WHOLE],
		       counts[kind][INCIDENT_REFUSED],
		       begun[kind][INCIDENT_RESET],
		       begun[kind][INCIDENT_CLOSED], begun[kind][INCIDENT_LEFT],
		       counts[kind][INCIDENT_BROKEN],
		       counts[kind][INCIDENT_RESET] -
			       begun[kind][INCIDENT_RESET],
		       counts[kind][INCIDENT_CLOSED] -
			       begun[kind][INCIDENT_CLOSED],
		       counts[kind][INCIDENT_LEFT] - begun[kind][INCIDENT_LEFT],
		       counts[kind][INCIDENT_PENDING]);
		CU_ASSERT_EQUAL(counts[kind][INCIDENT_BROKEN], 0);
		CU_ASSERT_EQUAL(counts[kind][INCIDENT_PENDING], 0);
		/* Callers leave later than calls are answered or refused. */
		if (fixture->row->caller_count)
			CU_ASSERT_EQUAL(counts[kind][INCIDENT_LEFT],
					begun[kind][INCIDENT_LEFT]);
		if (kind == INCIDENT_STREAM || kind == INCIDENT_STREAM_ONCE)
			cut += begun[kind][INCIDENT_RESET] +
			       begun[kind][INCIDENT_CLOSED] +
			       begun[kind][INCIDENT_LEFT];
	}
	CU_ASSERT_TRUE(counts[INCIDENT_STREAM][INCIDENT_WHOLE] > 0);
	if (fixture->row->entry_loss != LOSS_KILL)
		CU_ASSERT_EQUAL(cut, 0);
}

/* Requests and repeats at a service, by the half windows of the budget. */
typedef struct budget {
	GArray *sent_ms;    /* of requests; int64_t, ascending */
	GArray *repeats_ms; /* of arrivals beyond the first */
} budget_t;

static unsigned int times_count_(const GArray *times, int64_t from_ms,
				 int64_t to_ms)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < times->len; i++) {
		int64_t time_ms = g_array_index(times, int64_t, i);

		count += time_ms >= from_ms && time_ms < to_ms;
	}
	return count;
}

/* Checks the repeats in each window that begins with one. */
static void budget_check_(const fixture_t *fixture, const char *service,
			  const budget_t *budget)
{
	double extra = BUDGET_EXTRA_S * fixture->row->rate_per_s;
	unsigned int worst = 0;
	double worst_allowed = 0;
	gboolean is_exceeded = FALSE;
	unsigned int i;

	for (i = 0; i < budget->repeats_ms->len; i++) {
		int64_t from_ms = g_array_index(budget->repeats_ms, int64_t, i);
		int64_t to_ms = from_ms + BUDGET_WINDOW_MS;
		unsigned int repeats =
			times_count_(budget->repeats_ms, from_ms, to_ms);
		unsigned int requests =
			times_count_(budget->sent_ms, from_ms, to_ms);
		unsigned int half = times_count_(budget->sent_ms,
						 from_ms - BUDGET_WINDOW_MS / 2,
						 to_ms - BUDGET_WINDOW_MS / 2);
		unsigned int before =
			times_count_(budget->sent_ms,
				     from_ms - BUDGET_WINDOW_MS, from_ms);
		double allowed =
			BUDGET_RATIO * MAX(requests, MAX(half, before)) + extra;

		is_exceeded |= repeats > allowed;
		if (repeats > worst) {
			worst = repeats;
			worst_allowed = allowed;
		}
	}
	printf("    service %s: %u requests, %u repeats, worst %u in %d ms of "
	       "%.0f allowed\n",
	       service, budget->sent_ms->len, budget->repeats_ms->len, worst,
	       BUDGET_WINDOW_MS, worst_allowed);
	CU_ASSERT_FALSE(is_exceeded);
}

/* Checks how often requests reached servers, against the retry budget. */
static void repeats_check_(const fixture_t *fixture, const GPtrArray *requests,
			   const GPtrArray *runs)
{
	budget_t budgets[2];
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(budgets); i++) {
		budgets[i].sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
		budgets[i].repeats_ms =
			g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	for (i = 0; i < requests->len; i++) {
		const incident_request_t *request = requests->pdata[i];
		gboolean is_other = request->kind == INCIDENT_SAFE ||
				    request->kind == INCIDENT_UNSAFE;

		g_array_append_val(budgets[is_other].sent_ms, request->sent_ms);
	}
	for (i = 0; i < runs->len; i++) {
		const incident_run_t *run = runs->pdata[i];

		if (!strcmp(run->request_id, "start"))
			continue;
		if (!g_hash_table_add(seen, run->request_id))
			g_array_append_val(budgets[run->is_other].repeats_ms,
					   run->arrived_ms);
	}
	budget_check_(fixture, "s", &budgets[0]);
	budget_check_(fixture, "t", &budgets[1]);
	for (i = 0; i < G_N_ELEMENTS(budgets); i++) {
		g_array_unref(budgets[i].sent_ms);
		g_array_unref(budgets[i].repeats_ms);
	}
	g_hash_table_unref(seen);
}

/* Returns the runs of each request, as arrays of incident_run_t by its ID. */
static GHashTable *runs_group_(const GPtrArray *runs)
{
	GHashTable *groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	unsigned int i;

	for (i = 0; i < runs->len; i++) {
		incident_run_t *run = runs->pdata[i];
		GPtrArray *group = g_hash_table_lookup(groups, run->request_id);

		if (!group) {
			group = g_ptr_array_new();
			g_hash_table_insert(groups, run->request_id, group);
		}
		g_ptr_array_add(group, run);
	}
	return groups;
}

/*
 * Returns whether another run of the request had brought an event as this one
 * ended, and went on with the answer.
 */
static gboolean is_taken_over_(const incident_run_t *run,
			       const GPtrArray *group)
{
	unsigned int i;

	for (i = 0; i < group->len; i++) {
		const incident_run_t *other = group->pdata[i];

		if (other == run || !other->events ||
		    other->first_event_ms > run->ended_ms)
			continue;
		if (other->is_whole || !other->was_closed ||
		    other->ended_ms > run->ended_ms)
			return TRUE;
	}
	return FALSE;
}

/* Returns the requests by their IDs. */
static GHashTable *requests_index_(const GPtrArray *requests)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		incident_request_t *request = requests->pdata[i];

		g_hash_table_insert(index, request->id, request);
	}
	return index;
}

/*
 * Returns whether the caller had an event of the answer, and still waited for the
 * next, as a run was closed.  The test learns of both ends by its own polls.
 */
static gboolean is_awaited_(const incident_request_t *request,
			    const incident_run_t *run)
{
	return request && request->has_begun &&
	       request->begun_ms <= run->ended_ms &&
	       (request->end == INCIDENT_PENDING ||
		request->ended_ms > run->ended_ms + INCIDENT_LATE_MS);
}

/* Returns whether a run was closed after the caller of its request had left. */
static gboolean is_unwanted_(const incident_request_t *request,
			     const incident_run_t *run)
{
	return request && request->end == INCIDENT_LEFT &&
	       run->ended_ms >= request->ended_ms;
}

/*
 * Checks that instances end no run that makes progress, and none of an answer that
 * has begun, unless another run goes on with it.
 */
static void runs_check_(const fixture_t *fixture, const GPtrArray *requests,
			const GPtrArray *runs)
{
	GHashTable *groups = runs_group_(runs);
	GHashTable *index = requests_index_(requests);
	unsigned int taken_over = 0;
	unsigned int unwanted = 0;
	unsigned int abandoned = 0;
	unsigned int given_up = 0;
	unsigned int brief = 0;
	unsigned int unbegun = 0;
	unsigned int rejected = 0;
	unsigned int i;

	for (i = 0; i < runs->len; i++) {
		const incident_run_t *run = runs->pdata[i];
		const incident_request_t *request =
			g_hash_table_lookup(index, run->request_id);
		int64_t silent_ms = run->ended_ms - run->progress_ms;

		rejected += run->is_rejected;
		if (!run->was_closed || !strcmp(run->request_id, "start"))
			continue;
		if (is_unwanted_(request, run)) {
			unwanted++;
			continue;
		}
		unbegun += !run->has_begun;
		if (!run->has_begun)
			continue;
		if (is_taken_over_(run, g_hash_table_lookup(groups,
							    run->request_id))) {
			taken_over++;
			continue;
		}
		abandoned += silent_ms <= PROGRESS_MAX_MS;
		brief += silent_ms <= BRIEF_MAX_MS;
		given_up += is_awaited_(request, run);
	}
	printf("    %u arrivals, %u rejected; closed by an instance: %u within "
	       "%d ms after an event, %u within %d ms, %u before their first "
	       "event, %u taken over by another run, %u whose caller had left, "
	       "%u of a caller who still waited; connections reset by servers "
	       "%u; orders to engines %u, reroutes %u\n",
	       runs->len, rejected, abandoned, PROGRESS_MAX_MS, brief,
	       BRIEF_MAX_MS, unbegun, taken_over, unwanted, given_up,
	       incident_servers_excess(fixture->servers),
	       incident_servers_orders(fixture->servers),
	       incident_servers_reroutes(fixture->servers));
	g_hash_table_unref(index);
	g_hash_table_unref(groups);
	if (fixture->row->entry_loss == LOSS_KILL)
		return;
	CU_ASSERT_EQUAL(abandoned, 0);
	CU_ASSERT_EQUAL(given_up, 0);
}

/*
 * Writes all runs and requests into the folder of the logs, with the wall-clock
 * times of these, so that both can be compared line by line.
 */
static void records_write_(const fixture_t *fixture, const GPtrArray *requests,
			   const GPtrArray *runs)
{
	int64_t wall_ms = g_get_real_time() / 1000 - now_ms_();
	GString *text = g_string_new(
		"record\tid\tkind\tserver\tbegun\tend\tbegin_ms\tend_ms\t"
		"due_ms\tevents\tfirst_event_ms\tlast_event_times_ms\n");
	char *path = g_strdup_printf("%s/records.tsv", fixture->group->folder);
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const incident_request_t *request = requests->pdata[i];

		g_string_append_printf(
			text,
			"request\t%s\t%d\t\t%d\t%d\t%" G_GINT64_FORMAT
			"\t%" G_GINT64_FORMAT "\t\t\t\t\n",
			request->id, (int)request->kind, request->has_begun,
			(int)request->end, wall_ms + request->sent_ms,
			wall_ms + request->ended_ms);
	}
	for (i = 0; i < runs->len; i++) {
		const incident_run_t *run = runs->pdata[i];
		unsigned int event;

		g_string_append_printf(
			text,
			"run\t%s\t%d\t127.0.1.%u\t%d\t%s\t%" G_GINT64_FORMAT
			"\t%" G_GINT64_FORMAT "\t%" G_GINT64_FORMAT
			"\t%u\t%" G_GINT64_FORMAT "\t",
			run->request_id, run->is_stream, run->server + 1,
			run->has_begun,
			run->was_closed	 ? "closed" :
			run->is_rejected ? "rejected" :
			run->is_whole	 ? "whole" :
					   "open",
			wall_ms + run->arrived_ms, wall_ms + run->ended_ms,
			wall_ms + run->due_ms, run->events,
			run->events ? wall_ms + run->first_event_ms : 0);
		for (event = run->events > INCIDENT_EVENT_TIMES ?
				     run->events - INCIDENT_EVENT_TIMES :
				     0;
		     event < run->events; event++)
			g_string_append_printf(
				text, "%" G_GINT64_FORMAT " ",
				wall_ms + run->event_ms[event %
							INCIDENT_EVENT_TIMES]);
		g_string_append_c(text, '\n');
	}
	CU_ASSERT_TRUE(
		g_file_set_contents(path, text->str, (gssize)text->len, NULL));
	g_free(path);
	g_string_free(text, TRUE);
}

/* Checks that no process has ended without a signal of the test. */
static void processes_check_(fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < fixture->row->control_count; i++)
		CU_ASSERT_TRUE(support_daemon_runs(fixture->control[i].daemon));
	for (i = 0; i < fixture->row->entry_count; i++)
		CU_ASSERT_TRUE(support_daemon_runs(fixture->entries[i].daemon));
}

static void row_test_(const row_t *row)
{
	GPtrArray *requests;
	GPtrArray *runs;
	fixture_t fixture;
	incident_lag_t lag;

	fixture_init_(&fixture, row);
	row_play_(&fixture);
	requests = incident_callers_end(fixture.callers);
	runs = incident_servers_end(fixture.servers);
	lag = incident_servers_lag(fixture.servers);
	printf("    %s: %u requests, documents %d, losses %u, seed %u; the "
	       "stand-in was late by over %d ms %u times, by %d ms at worst\n",
	       row->name, requests->len, fixture.version - 1,
	       fixture.loss_count, seed_(), INCIDENT_LATE_MS, lag.count,
	       (int)lag.worst_ms);
	processes_check_(&fixture);
	answers_check_(&fixture, requests);
	runs_check_(&fixture, requests, runs);
	repeats_check_(&fixture, requests, runs);
	logs_print_(&fixture);
	if (g_getenv("CB_KEEP"))
		records_write_(&fixture, requests, runs);
	incident_servers_delete(fixture.servers);
	g_ptr_array_unref(requests);
	fixture_clear_(&fixture);
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
	CU_SuiteInfo suites[] = { { .pName = "incident", .pTests = tests },
				  CU_SUITE_INFO_NULL };
	size_t count = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		if (support_row_is_chosen(rows[i].name, rows[i].is_short))
			tests[count++] = (CU_TestInfo){ rows[i].test_name,
							next_row_test_ };
	return support_run(suites);
}
