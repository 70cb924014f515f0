#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cuts.h"
#include "support_main.h"
#include "support_programs.h"

/*
 * Runs the platform's programs as real processes on loopback while some entry
 * instances lose their way to all backend servers; control, callers and the
 * servers' heartbeats reach all.  CB_ROWS names the rows to play ("all", or some,
 * separated by commas), CB_SEED sets the seed; CB_KEEP keeps the logs.
 */
#define START_TIMEOUT_MS 20000
#define HEARTBEAT_MS 300
#define STEP_MS 2
#define REQUESTS_PER_S 60
#define PAUSE_MS 300
#define BEFORE_MS 3000
#define AFTER_MS 6000
/* After the beginning of a cut, and after its end, what is served counts. */
#define SETTLE_MS 1000
#define RETURN_MS 3000
/* A refusal of what can't be served comes within this time. */
#define REFUSAL_MAX_MS 1000
/* Numbers of events in docs/EVENTS.md. */
#define SERVER_ENDED_EVENT 515
#define CONTENT_WATCHED_EVENT 516
#define WAY_LOST_EVENT 522
/* Served at the cut instances, in percent of the others' share. */
#define CUT_SHARE_MIN_PERCENT 95
/* Served by the others, and by all afterwards, in percent of before. */
#define OTHERS_SHARE_MIN_PERCENT 97

#define ROUTE(name, path, kind, extra)                                      \
	"{\"name\":\"" name "\",\"host\":\"h\",\"pathPrefix\":\"" path      \
	"\",\"kind\":\"" kind "\",\"timeoutMs\":5000,"                      \
	"\"targetLatencyMs\":500,\"service\":\"s\",\"maxAttempts\":2" extra \
	"}"
#define DOCUMENT(version)                                                                                                 \
	"{\"version\":" version                                                                                           \
	",\"routes\":[" ROUTE("s", "/s/", "stream", ",\"targetGapMs\":200,\"sticky\":true,\"resumable\":true") "," ROUTE( \
		"r", "/r/", "safe",                                                                                       \
		"") "," ROUTE("o", "/o/", "unsafe",                                                                       \
			      "") "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","                           \
				  "\"maxConnections\":200}],\"limits\":{\"maxHeaderBytes\":4096,"                         \
				  "\"maxBodyBytes\":64,\"headerTimeoutMs\":300,"                                          \
				  "\"idleTimeoutMs\":2000},\"tenants\":[{\"name\":\"w\",\"apiKeys\":"                     \
				  "[\"key\"]}]}"

/* A row of the table: which instances are cut off, and how. */
typedef struct row {
	const char *name;      /* in CB_ROWS */
	const char *test_name; /* failure that the row guards against */
	gboolean is_short;     /* played without CB_ROWS too */
	cuts_mode_t mode;
	unsigned int cut_entries; /* the first ones */
	int64_t cut_ms;
	/* A second cut, of the following instances, begins as the first ends. */
	gboolean has_second_cut;
	gboolean restarts_entry; /* one that is not cut off */
	gboolean changes_document;
	/* Instead of a cut all servers stand still for this time. */
	int64_t stall_ms;
	/* Instead of a cut the first instance is paused again and again. */
	int64_t pauses_ms;
} row_t;

static const row_t rows[] = {
	{ .name = "hang",
	  .test_name = "instances_whose_connections_hang_serve_callers",
	  .is_short = TRUE,
	  .mode = CUTS_HANG,
	  .cut_entries = 2,
	  .cut_ms = 4000 },
	{ .name = "reset",
	  .test_name = "instances_whose_connections_are_reset_serve_callers",
	  .is_short = TRUE,
	  .mode = CUTS_RESET,
	  .cut_entries = 2,
	  .cut_ms = 4000 },
	{ .name = "refuse",
	  .test_name = "instances_whose_connections_are_refused_report_nothing",
	  .is_short = TRUE,
	  .mode = CUTS_REFUSE,
	  .cut_entries = 2,
	  .cut_ms = 4000 },
	{ .name = "reset_new",
	  .test_name = "instances_without_new_connections_serve_callers",
	  .is_short = TRUE,
	  .mode = CUTS_RESET_NEW,
	  .cut_entries = 2,
	  .cut_ms = 4000 },
	{ .name = "all",
	  .test_name = "instances_that_are_all_cut_off_refuse_at_once",
	  .is_short = TRUE,
	  .mode = CUTS_RESET,
	  .cut_entries = CUTS_ENTRY_COUNT,
	  .cut_ms = 3000 },
	{ .name = "hang_four",
	  .test_name = "four_of_six_hanging_instances_serve_callers",
	  .mode = CUTS_HANG,
	  .cut_entries = 4,
	  .cut_ms = 12000 },
	{ .name = "reset_four",
	  .test_name = "four_of_six_reset_instances_serve_callers",
	  .mode = CUTS_RESET,
	  .cut_entries = 4,
	  .cut_ms = 12000 },
	{ .name = "reset_new_four",
	  .test_name = "four_of_six_without_new_connections_serve_callers",
	  .mode = CUTS_RESET_NEW,
	  .cut_entries = 4,
	  .cut_ms = 12000 },
	{ .name = "hang_brief",
	  .test_name = "brief_hang_leaves_callers_served",
	  .mode = CUTS_HANG,
	  .cut_entries = 2,
	  .cut_ms = 1500 },
	{ .name = "hang_all",
	  .test_name = "instances_that_all_hang_serve_callers_afterwards",
	  .mode = CUTS_HANG,
	  .cut_entries = CUTS_ENTRY_COUNT,
	  .cut_ms = 3000 },
	{ .name = "twice",
	  .test_name = "second_cut_of_other_instances_leaves_callers_served",
	  .mode = CUTS_RESET,
	  .cut_entries = 2,
	  .cut_ms = 4000,
	  .has_second_cut = TRUE },
	{ .name = "busy",
	  .test_name = "cut_beside_restart_and_change_leaves_callers_served",
	  .mode = CUTS_HANG,
	  .cut_entries = 2,
	  .cut_ms = 6000,
	  .restarts_entry = TRUE,
	  .changes_document = TRUE },
	{ .name = "pauses",
	  .test_name = "paused_instance_does_not_lose_its_way",
	  .pauses_ms = 8000 },
	{ .name = "stall",
	  .test_name = "stall_of_all_servers_is_no_lost_way",
	  .stall_ms = 1000 },
};

typedef struct fixture {
	const row_t *row;
	support_group_t *group;
	support_daemon_t *entries[CUTS_ENTRY_COUNT];
	char *entry_addresses[CUTS_ENTRY_COUNT + 1];
	char *ready_addresses[CUTS_ENTRY_COUNT];
	char *control_address;
	cuts_servers_t *servers;
	cuts_callers_t *callers;
	int64_t cut_begin_ms;
	int64_t cut_end_ms;
	gboolean is_cut;
	gboolean is_second_cut;
	gboolean is_paused;
	gboolean has_changed;
	gboolean has_stopped; /* the entry instance that is restarted */
} fixture_t;

/* Requests sent in some span of time, and the whole answers to them. */
typedef struct share {
	unsigned int sent;
	unsigned int served;
} share_t;

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

static void control_start_(fixture_t *fixture, int internal_port)
{
	char *seeds = g_strdup_printf("\"%s\"", fixture->control_address);
	GString *settings =
		support_program_settings("c0", "127.0.0.2", internal_port,
					 seeds, HEARTBEAT_MS);

	g_string_append_printf(settings,
			       ",\"first_start\":true,"
			       "\"listen_control\":\"%s\","
			       "\"data_folder\":\"%s/c0\"",
			       fixture->control_address,
			       fixture->group->folder);
	(void)support_program_start(fixture->group, "cb-platform-control", "c0",
				    settings);
	g_free(seeds);
}

/* Returns the path of the file by which an instance's connections are refused. */
static char *refuse_mark_new_(const fixture_t *fixture, unsigned int entry)
{
	return g_strdup_printf("%s/refuse-e%u", fixture->group->folder, entry);
}

/* Sets the environment that gives an entry instance its source address. */
static void source_address_set_(const fixture_t *fixture, unsigned int entry)
{
	char *ip = g_strdup_printf("127.0.0.%u", CUTS_ENTRY_IP + entry);
	char *mark = refuse_mark_new_(fixture, entry);
	char *from = g_strdup_printf("%d", CUTS_SERVER_IP);

	g_setenv("CB_REFUSE_MARK", mark, TRUE);
	g_setenv("CB_REFUSE_FROM", from, TRUE);
	g_free(from);
	g_free(mark);
	g_setenv("CB_SOURCE_IP", ip, TRUE);
	g_setenv("LD_PRELOAD", CB_PROGRAM_DIR "/libcuts-source-address.so",
		 TRUE);
	/* The library comes before the sanitizer's own. */
	g_setenv("ASAN_OPTIONS", "verify_asan_link_order=0", TRUE);
	g_free(ip);
}

static void source_address_clear_(void)
{
	g_unsetenv("CB_REFUSE_MARK");
	g_unsetenv("CB_REFUSE_FROM");
	g_unsetenv("CB_SOURCE_IP");
	g_unsetenv("LD_PRELOAD");
	g_unsetenv("ASAN_OPTIONS");
}

static void entry_start_(fixture_t *fixture, unsigned int i, int internal_port)
{
	char *name = g_strdup_printf("e%u", i);
	char *ip = g_strdup_printf("127.0.0.%u", i + CUTS_ENTRY_IP);
	char *seeds = g_strdup_printf("\"%s\"", fixture->control_address);
	GString *settings = support_program_settings(name, ip, internal_port,
						     seeds, HEARTBEAT_MS);

	fixture->entry_addresses[i] =
		g_strdup_printf("%s:%d", ip, (int)support_free_port());
	fixture->ready_addresses[i] =
		g_strdup_printf("%s:%d", ip, (int)support_free_port());
	g_string_append_printf(settings,
			       ",\"grace_s\":3,\"address_ttl_s\":1,"
			       "\"listen_front\":\"%s\","
			       "\"listen_ready\":\"%s\","
			       "\"listen_addresses\":\"%s:%d\"",
			       fixture->entry_addresses[i],
			       fixture->ready_addresses[i], ip,
			       (int)support_free_port());
	source_address_set_(fixture, i);
	fixture->entries[i] =
		support_program_start(fixture->group, "cb-platform-entry", name,
				      settings);
	source_address_clear_();
	g_free(seeds);
	g_free(ip);
	g_free(name);
}

static gboolean document_put_(const fixture_t *fixture, const char *document)
{
	return support_api_call_status(fixture->control_address, "POST",
				       "/v1/config/put", document) == 200;
}

static gboolean is_document_put_(void *user_data)
{
	return document_put_(user_data, DOCUMENT("1"));
}

/* Returns whether each entry instance is ready and has servers. */
static gboolean are_entries_serving_(void *user_data)
{
	const fixture_t *fixture = user_data;
	unsigned int i;

	for (i = 0; i < CUTS_ENTRY_COUNT; i++) {
		char *answer = support_request_exchange(
			fixture->entry_addresses[i],
			"GET /r/start HTTP/1.1\r\nHost: h\r\n"
			"X-Request-Id: start\r\nX-Time-Budget: 1000\r\n"
			"Authorization: Bearer key\r\n"
			"Connection: close\r\nContent-Length: 0\r\n\r\n");
		unsigned int status = support_answer_status(answer);

		g_free(answer);
		if (status != 200 ||
		    support_api_call_status(fixture->ready_addresses[i], "GET",
					    "/v1/ready", "") != 200)
			return FALSE;
	}
	return TRUE;
}

static void fixture_init_(fixture_t *fixture, const row_t *row)
{
	const char *seed = g_getenv("CB_SEED");
	int internal_port = (int)support_free_port();
	unsigned int i;

	*fixture =
		(fixture_t){ .row = row, .group = support_group_new(0, NULL) };
	fixture->control_address =
		g_strdup_printf("127.0.0.2:%d", (int)support_free_port());
	control_start_(fixture, internal_port);
	for (i = 0; i < CUTS_ENTRY_COUNT; i++)
		entry_start_(fixture, i, internal_port);
	fixture->servers = cuts_servers_new(fixture->control_address);
	CU_ASSERT_TRUE_FATAL(support_wait_until(is_document_put_, fixture,
						START_TIMEOUT_MS));
	CU_ASSERT_TRUE_FATAL(support_wait_until(are_entries_serving_, fixture,
						START_TIMEOUT_MS));
	fixture->callers = cuts_callers_new(
		(const char *const *)fixture->entry_addresses,
		seed ? (uint32_t)g_ascii_strtoull(seed, NULL, 10) : 1);
}

static void fixture_clear_(fixture_t *fixture)
{
	unsigned int i;

	support_group_delete(fixture->group);
	for (i = 0; i < CUTS_ENTRY_COUNT; i++) {
		g_free(fixture->entry_addresses[i]);
		g_free(fixture->ready_addresses[i]);
	}
	g_free(fixture->control_address);
}

/* Cuts off some entry instances, or gives them their way back. */
static void entries_cut_(fixture_t *fixture, unsigned int first,
			 cuts_mode_t mode)
{
	unsigned int i;

	for (i = first; i < first + fixture->row->cut_entries; i++) {
		char *mark = refuse_mark_new_(fixture, i);

		if (mode == CUTS_REFUSE) {
			CU_ASSERT_TRUE(g_file_set_contents(mark, "", 0, NULL));
		} else {
			(void)remove(mark);
		}
		cuts_servers_set_mode(fixture->servers, i, mode);
		g_free(mark);
	}
}

/* Stops the last entry instance, and starts it again once it has ended. */
static void entry_restart_(fixture_t *fixture)
{
	support_daemon_t *entry = fixture->entries[CUTS_ENTRY_COUNT - 1];

	if (!fixture->has_stopped) {
		fixture->has_stopped = TRUE;
		support_daemon_signal(entry, SIGTERM);
	} else if (entry->process && !support_daemon_runs(entry)) {
		(void)support_daemon_wait(entry);
		source_address_set_(fixture, CUTS_ENTRY_COUNT - 1);
		support_daemon_start(entry);
		source_address_clear_();
	}
}

/* Pauses the first entry instance, or lets it go on. */
static void entry_pause_(fixture_t *fixture, gboolean is_paused)
{
	if (fixture->is_paused != is_paused)
		support_daemon_signal(fixture->entries[0],
				      is_paused ? SIGSTOP : SIGCONT);
	fixture->is_paused = is_paused;
}

/* Begins and ends the cuts, and what else the row plays. */
static void row_step_(fixture_t *fixture)
{
	const row_t *row = fixture->row;
	int64_t now_ms = now_ms_();
	gboolean is_time =
		now_ms >= fixture->cut_begin_ms && now_ms < fixture->cut_end_ms;

	if (row->pauses_ms)
		entry_pause_(fixture, is_time && now_ms / PAUSE_MS % 2);
	else if (row->stall_ms)
		cuts_servers_set_stalled(fixture->servers, is_time);
	else if (is_time != fixture->is_cut)
		entries_cut_(fixture, 0, is_time ? row->mode : CUTS_NONE);
	fixture->is_cut = is_time;
	if (row->has_second_cut) {
		is_time = now_ms >= fixture->cut_end_ms &&
			  now_ms < fixture->cut_end_ms + row->cut_ms;
		if (is_time != fixture->is_second_cut)
			entries_cut_(fixture, row->cut_entries,
				     is_time ? row->mode : CUTS_NONE);
		fixture->is_second_cut = is_time;
	}
	if (now_ms < fixture->cut_begin_ms + row->cut_ms / 2)
		return;
	if (row->changes_document && !fixture->has_changed)
		fixture->has_changed = document_put_(fixture, DOCUMENT("2"));
	if (row->restarts_entry)
		entry_restart_(fixture);
}

static void row_play_(fixture_t *fixture)
{
	const row_t *row = fixture->row;
	int64_t begin_us = g_get_monotonic_time();
	int64_t sent = 0;
	int64_t end_ms;

	fixture->cut_begin_ms = begin_us / 1000 + BEFORE_MS;
	fixture->cut_end_ms =
		fixture->cut_begin_ms +
		MAX(MAX(row->stall_ms, row->pauses_ms), row->cut_ms);
	end_ms = fixture->cut_end_ms + AFTER_MS +
		 (row->has_second_cut ? row->cut_ms : 0);
	while (now_ms_() < end_ms) {
		row_step_(fixture);
		while (sent * G_USEC_PER_SEC / REQUESTS_PER_S <
		       g_get_monotonic_time() - begin_us) {
			cuts_callers_send(fixture->callers);
			sent++;
		}
		g_usleep(STEP_MS * 1000);
	}
}

/*
 * Returns what was served of the requests sent in a span of time to a range of
 * entry instances.
 */
static share_t share_find_(const GPtrArray *requests, int64_t from_ms,
			   int64_t to_ms, unsigned int first_entry,
			   unsigned int end_entry)
{
	share_t share = { 0 };
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const cuts_request_t *request = requests->pdata[i];

		if (request->sent_ms < from_ms || request->sent_ms >= to_ms ||
		    request->entry < first_entry || request->entry >= end_entry)
			continue;
		share.sent++;
		share.served += request->is_whole;
	}
	return share;
}

static double percent_(share_t share)
{
	return share.sent ? 100.0 * share.served / share.sent : 100;
}

/* Checks what the answers say of whether requests ran, and how often they did. */
static void truth_check_(fixture_t *fixture, const GPtrArray *requests)
{
	unsigned int untrue = 0;
	unsigned int repeated = 0;
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const cuts_request_t *request = requests->pdata[i];
		unsigned int runs =
			cuts_servers_run_count(fixture->servers, request->id);

		untrue += runs &&
			  (request->status == 503 || request->status == 429);
		repeated += request->kind == CUTS_UNSAFE && runs > 1;
	}
	printf("    untrue refusals %u, unsafe calls run twice %u\n", untrue,
	       repeated);
	CU_ASSERT_EQUAL(untrue, 0);
	CU_ASSERT_EQUAL(repeated, 0);
}

/* Prints how the requests to the cut instances ended. */
static void cut_answers_print_(const fixture_t *fixture,
			       const GPtrArray *requests)
{
	static const char *const kinds[] = { "stream", "safe", "unsafe" };
	unsigned int counts[CUTS_KIND_COUNT][6] = { { 0 } };
	unsigned int kind;
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const cuts_request_t *request = requests->pdata[i];

		if (request->sent_ms < fixture->cut_begin_ms ||
		    request->sent_ms >= fixture->cut_end_ms ||
		    request->entry >= fixture->row->cut_entries)
			continue;
		counts[request->kind][request->is_whole	     ? 0 :
				      request->status == 200 ? 1 :
				      request->status == 502 ? 2 :
				      request->status == 503 ? 3 :
				      request->status == 504 ? 4 :
							       5]++;
	}
	for (kind = 0; kind < CUTS_KIND_COUNT; kind++)
		printf("    cut off, %s: whole %u, broken off %u, 502 %u, "
		       "503 %u, 504 %u, none %u\n",
		       kinds[kind], counts[kind][0], counts[kind][1],
		       counts[kind][2], counts[kind][3], counts[kind][4],
		       counts[kind][5]);
}

/*
 * Checks that what can't be served is refused at once, with a status that says
 * that it did not run.
 */
static void refusals_check_(const fixture_t *fixture, const GPtrArray *requests)
{
	unsigned int unpromised = 0;
	int64_t slowest_ms = 0;
	unsigned int i;

	for (i = 0; i < requests->len; i++) {
		const cuts_request_t *request = requests->pdata[i];

		if (request->sent_ms < fixture->cut_begin_ms + SETTLE_MS ||
		    request->sent_ms >= fixture->cut_end_ms - REFUSAL_MAX_MS ||
		    request->is_whole)
			continue;
		unpromised += request->status != 503;
		slowest_ms = MAX(slowest_ms,
				 request->answered_ms - request->sent_ms);
	}
	printf("    slowest refusal after %d ms, without a promise %u\n",
	       (int)slowest_ms, unpromised);
	CU_ASSERT_TRUE(slowest_ms <= REFUSAL_MAX_MS);
	CU_ASSERT_EQUAL(unpromised, 0);
}

static void shares_check_(const fixture_t *fixture, const GPtrArray *requests)
{
	const row_t *row = fixture->row;
	unsigned int others = row->cut_entries * (row->has_second_cut ? 2 : 1);
	unsigned int last = CUTS_ENTRY_COUNT - (row->restarts_entry ? 1 : 0);
	int64_t cut_begin_ms = fixture->cut_begin_ms;
	int64_t cut_end_ms = fixture->cut_end_ms;
	share_t before = share_find_(requests, 0, cut_begin_ms - 500, 0, last);
	share_t begin =
		share_find_(requests, cut_begin_ms, cut_begin_ms + SETTLE_MS, 0,
			    row->cut_entries);
	share_t cut = share_find_(requests, cut_begin_ms + SETTLE_MS,
				  cut_end_ms, 0, row->cut_entries);
	share_t uncut =
		share_find_(requests, cut_begin_ms, cut_end_ms, others, last);
	share_t after =
		share_find_(requests,
			    cut_end_ms + RETURN_MS +
				    (row->has_second_cut ? row->cut_ms : 0),
			    INT64_MAX, 0, last);

	printf("    %s: served before %u of %u; at the cut instances in the "
	       "first %d ms %u of %u, then %u of %u; at the others %u of %u; "
	       "afterwards %u of %u\n",
	       row->name, before.served, before.sent, SETTLE_MS, begin.served,
	       begin.sent, cut.served, cut.sent, uncut.served, uncut.sent,
	       after.served, after.sent);
	if (others < last && !row->pauses_ms) {
		CU_ASSERT_TRUE(percent_(cut) * 100 >=
			       percent_(uncut) * CUT_SHARE_MIN_PERCENT);
		CU_ASSERT_TRUE(percent_(uncut) * 100 >=
			       percent_(before) * OTHERS_SHARE_MIN_PERCENT);
	}
	CU_ASSERT_TRUE(percent_(after) * 100 >=
		       percent_(before) * OTHERS_SHARE_MIN_PERCENT);
}

/* Returns how often an event is in an entry instance's log. */
static unsigned int events_count_(const fixture_t *fixture, unsigned int entry,
				  int event)
{
	char *path =
		g_strdup_printf("%s/e%u.log", fixture->group->folder, entry);
	char *pattern = g_strdup_printf("\"event\":%d,", event);
	const char *found;
	unsigned int count = 0;
	char *text = NULL;

	CU_ASSERT_TRUE(g_file_get_contents(path, &text, NULL, NULL));
	for (found = text; found && (found = strstr(found, pattern)); found++)
		count++;
	g_free(text);
	g_free(pattern);
	g_free(path);
	return count;
}

/*
 * Checks that no instance says of the servers, none of which has ended, what is due
 * to its own way: ends of servers, and suspect content.
 */
static void reports_check_(const fixture_t *fixture)
{
	unsigned int ends = 0;
	unsigned int suspects = 0;
	unsigned int i;

	for (i = 0; i < CUTS_ENTRY_COUNT; i++) {
		ends += events_count_(fixture, i, SERVER_ENDED_EVENT);
		suspects += events_count_(fixture, i, CONTENT_WATCHED_EVENT);
	}
	if (fixture->row->pauses_ms) {
		unsigned int lost = events_count_(fixture, 0, WAY_LOST_EVENT);

		printf("    lost ways %u\n", lost);
		CU_ASSERT_EQUAL(lost, 0);
	}
	printf("    false ends of servers %u, records of suspect content %u\n",
	       ends, suspects);
	CU_ASSERT_EQUAL(ends, 0);
	CU_ASSERT_EQUAL(suspects, 0);
}

/* Checks that no entry instance has ended without a signal of the test. */
static void processes_check_(fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < CUTS_ENTRY_COUNT; i++)
		CU_ASSERT_TRUE(support_daemon_runs(fixture->entries[i]));
}

static void row_test_(const row_t *row)
{
	GPtrArray *requests;
	fixture_t fixture;

	fixture_init_(&fixture, row);
	row_play_(&fixture);
	requests = cuts_callers_end(fixture.callers);
	processes_check_(&fixture);
	shares_check_(&fixture, requests);
	cut_answers_print_(&fixture, requests);
	truth_check_(&fixture, requests);
	reports_check_(&fixture);
	if (row->cut_entries == CUTS_ENTRY_COUNT && row->mode == CUTS_RESET)
		refusals_check_(&fixture, requests);
	cuts_servers_delete(fixture.servers);
	fixture_clear_(&fixture);
	g_ptr_array_unref(requests);
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
	CU_SuiteInfo suites[] = { { .pName = "cuts", .pTests = tests },
				  CU_SUITE_INFO_NULL };
	size_t count = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		if (support_row_is_chosen(rows[i].name, rows[i].is_short))
			tests[count++] = (CU_TestInfo){ rows[i].test_name,
							next_row_test_ };
	return support_run(suites);
}
