#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "currantbridge/contract.h"
#include "currantbridge/operator.h"
#include "currantbridge/program.h"
#include "support_clients.h"
#include "support_main.h"

/*
 * The operators' HTTP interface and command-line client with real control
 * instances.  Control clients in this process stand for entry instances.
 */
#define CLIENT_COUNT 3
#define SILENCE_MS 1500
#define START_TIMEOUT_MS 20000
#define COMMAND_TIMEOUT_MS 30000
#define COMMAND_WORDS_MAX 10

static const support_timeouts_t timeouts = { 100, 500, SILENCE_MS };

typedef struct fixture {
	support_group_t *group;
	support_clients_t *clients;
	/* HTTP addresses of the control instances, for --control. */
	char *control_addresses;
	/* Path of the file that FILE in a command stands for. */
	char *file_path;
} fixture_t;

static void file_write_(const char *path, const char *text)
{
	CU_ASSERT_TRUE_FATAL(g_file_set_contents(path, text, -1, NULL));
}

static void fixture_init_(fixture_t *fixture)
{
	GString *addresses = g_string_new(NULL);
	size_t i;

	fixture->group = support_group_new(3, &timeouts);
	fixture->clients =
		support_clients_new(fixture->group, CLIENT_COUNT, SILENCE_MS);
	CU_ASSERT_TRUE_FATAL(support_clients_wait_confirmed(fixture->clients,
							    START_TIMEOUT_MS));
	for (i = 0; i < fixture->group->control_count; i++)
		g_string_append_printf(addresses, "%s%s", i ? "," : "",
				       fixture->group->control[i]->http);
	fixture->control_addresses = g_string_free(addresses, FALSE);
	fixture->file_path =
		g_build_filename(fixture->group->folder, "contract.json", NULL);
	file_write_(fixture->file_path,
		    "{\"workspace\":\"w\",\"keys\":[\"k\"]}");
}

static void fixture_clear_(fixture_t *fixture)
{
	g_unlink(fixture->file_path);
	support_clients_delete(fixture->clients);
	support_group_delete(fixture->group);
	g_free(fixture->control_addresses);
	g_free(fixture->file_path);
}

/* One run of the command-line client. */
typedef struct command_run {
	int exit_code;
	char *stdout_text;
	char *stderr_text;
	gboolean is_done;
} command_run_t;

static void command_run_finish_(GObject *source, GAsyncResult *result,
				void *user_data)
{
	command_run_t *run = user_data;

	g_subprocess_communicate_utf8_finish(G_SUBPROCESS(source), result,
					     &run->stdout_text,
					     &run->stderr_text, NULL);
	run->exit_code = g_subprocess_get_exit_status(G_SUBPROCESS(source));
	run->is_done = TRUE;
}

static gboolean command_run_is_done_(void *user_data)
{
	return ((command_run_t *)user_data)->is_done;
}

static void command_run_clear_(command_run_t *run)
{
	g_free(run->stdout_text);
	g_free(run->stderr_text);
}

/*
 * Runs the command-line client with the words of `line` as its arguments, where
 * FILE stands for the path of the fixture's file.  If `runs_main_loop` is
 * FALSE, the control clients of this process don't run meanwhile.
 */
static command_run_t command_run_(const fixture_t *fixture, const char *line,
				  gboolean runs_main_loop)
{
	char *program = g_build_filename(CB_PROGRAM_DIR, "currantbridge", NULL);
	char **words = g_strsplit(line, " ", COMMAND_WORDS_MAX);
	GPtrArray *argv = g_ptr_array_new();
	command_run_t run = { 0 };
	GSubprocess *process;
	char **word;

	g_ptr_array_add(argv, program);
	g_ptr_array_add(argv, (char *)"--control");
	g_ptr_array_add(argv, fixture->control_addresses);
	for (word = words; *word; word++)
		g_ptr_array_add(argv, g_str_equal(*word, "FILE") ?
					      fixture->file_path :
					      *word);
	g_ptr_array_add(argv, NULL);
	process = g_subprocess_newv((const char *const *)argv->pdata,
				    G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					    G_SUBPROCESS_FLAGS_STDERR_PIPE,
				    NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(process);
	if (runs_main_loop) {
		g_subprocess_communicate_utf8_async(process, NULL, NULL,
						    command_run_finish_, &run);
		CU_ASSERT_TRUE_FATAL(support_wait_until(command_run_is_done_,
							&run,
							COMMAND_TIMEOUT_MS));
	} else {
		g_subprocess_communicate_utf8(process, NULL, NULL,
					      &run.stdout_text,
					      &run.stderr_text, NULL);
		run.exit_code = g_subprocess_get_exit_status(process);
	}
	g_object_unref(process);
	g_ptr_array_unref(argv);
	g_strfreev(words);
	g_free(program);
	return run;
}

/*
 * Runs a command line and checks its exit code and that its standard output or
 * standard error contains `expected_text`.
 */
static void command_check_(const fixture_t *fixture, const char *line,
			   int exit_code, const char *expected_text)
{
	command_run_t run = command_run_(fixture, line, TRUE);
	gboolean has_expected_text = strstr(run.stdout_text, expected_text) ||
				     strstr(run.stderr_text, expected_text);

	CU_ASSERT_EQUAL(run.exit_code, exit_code);
	CU_ASSERT_TRUE(has_expected_text);
	if (run.exit_code != exit_code || !has_expected_text)
		printf("    %s: exit %d\n%s%s", line, run.exit_code,
		       run.stdout_text, run.stderr_text);
	command_run_clear_(&run);
}

/* Returns the value of the first member `name` in a JSON text, or -1. */
static gint64 json_number_find_(const char *text, const char *name)
{
	char *quoted = g_strdup_printf("\"%s\":", name);
	const char *found = strstr(text, quoted);
	gint64 number = -1;

	if (found)
		number = g_ascii_strtoll(found + strlen(quoted), NULL, 10);
	g_free(quoted);
	return number;
}

/*
 * Puts the contract with the given options of the command-line client.  Returns
 * the revision at which it was accepted, or -1.
 */
static gint64 contract_put_revision_(const fixture_t *fixture,
				     const char *options)
{
	char *line =
		g_strconcat("--json ", options, " contract put FILE", NULL);
	command_run_t run = command_run_(fixture, line, TRUE);
	gint64 revision = -1;

	if (run.exit_code == CB_EXIT_OK)
		revision = json_number_find_(run.stdout_text, "revision");
	else
		printf("    %s: exit %d %s%s", line, run.exit_code,
		       run.stdout_text, run.stderr_text);
	command_run_clear_(&run);
	g_free(line);
	return revision;
}

/* Each command reports its result by exit code and text. */
static void commands_report_their_result(void)
{
	static const struct {
		const char *line;
		int exit_code;
		const char *expected_text;
	} cases[] = {
		{ "contract list", CB_EXIT_OK, "WORKSPACE" },
		{ "contract get w", CB_EXIT_FAILURE, "not_found" },
		{ "contract put FILE --expect 99", CB_EXIT_CONFLICT,
		  "expected revision 99, the present revision is 0" },
		{ "contract put FILE --expect 0 --wait", CB_EXIT_OK,
		  "in force on 3 of 3 entry instances" },
		{ "--json contract put FILE --expect 0", CB_EXIT_CONFLICT,
		  "\"expected_revision\":0,\"present_revision\":" },
		{ "contract get w", CB_EXIT_OK, "\"deadline_ms\" : 60000" },
		{ "contract put /nonexistent", CB_EXIT_USAGE, "nonexistent" },
		{ "contract frob", CB_EXIT_USAGE, "the commands are" },
		{ "stop announce server s1 --wait", CB_EXIT_OK,
		  "in force on 3 of 3" },
		{ "stop announce rack s1", CB_EXIT_USAGE,
		  "must be server or instance" },
		{ "stop list", CB_EXIT_OK, "s1" },
		{ "stop cancel server s1", CB_EXIT_OK, "accepted" },
		{ "stop cancel server s1", CB_EXIT_FAILURE, "not_found" },
		{ "status", CB_EXIT_OK, "1 contracts, 0 stops" },
		{ "--json status", CB_EXIT_OK, "\"is_confirmed\":true" },
		{ "members list", CB_EXIT_OK, "leader" },
		{ "members remove nobody", CB_EXIT_OK, "accepted" },
		{ "members add control1 127.0.0.1:1", CB_EXIT_FAILURE,
		  "is a member at another address" },
		{ "config check FILE", CB_EXIT_OK, "valid: contract" },
		{ "contract rm w", CB_EXIT_OK, "accepted" },
		{ "contract rm w", CB_EXIT_FAILURE, "not_found" },
	};
	fixture_t fixture;
	size_t i;

	fixture_init_(&fixture);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		command_check_(&fixture, cases[i].line, cases[i].exit_code,
			       cases[i].expected_text);
	file_write_(fixture.file_path,
		    "{\"workspace\":\"w\",\"keys\":[\"k\"],\"lmit\":1}");
	command_check_(&fixture, "contract put FILE", CB_EXIT_USAGE,
		       "contract: lmit: unknown field");
	command_check_(&fixture, "config check FILE", CB_EXIT_USAGE,
		       "contract: lmit: unknown field");
	file_write_(fixture.file_path, "{\"data_folder\":5}");
	command_check_(&fixture, "config check FILE", CB_EXIT_USAGE,
		       "settings: data_folder: must be a string");
	file_write_(fixture.file_path, "{\"control\":[],\"lmit\":1}");
	command_check_(&fixture, "config check FILE", CB_EXIT_USAGE,
		       "settings: ");
	file_write_(fixture.file_path, "{}");
	command_check_(&fixture, "config check FILE", CB_EXIT_USAGE, "neither");
	fixture_clear_(&fixture);
}

/* Returns the number of refusals for a reason in /metrics; 0 if not listed. */
static gint64 refusal_count_read_(const char *address, const char *reason)
{
	char *name =
		g_strdup_printf("cb_refusals_total{reason=\"%s\"} ", reason);
	char *metrics = NULL;
	const char *found = NULL;
	gint64 count = 0;

	if (support_http_request("GET", address, "/metrics", NULL, &metrics) ==
	    SOUP_STATUS_OK)
		found = strstr(metrics, name);
	if (found)
		count = g_ascii_strtoll(found + strlen(name), NULL, 10);
	g_free(metrics);
	g_free(name);
	return count;
}

/*
 * Every refusal is JSON with its reason and "executed":"no", and increments the
 * counter of that reason by one.
 */
static void refusals_are_json_and_counted(void)
{
	static const char large[CB_CONTRACT_MAX_TEXT_BYTES + 2] = { 0 };
	static const struct {
		const char *method;
		const char *path;
		const char *change_id;
		const char *expected_revision;
		const char *body;
		size_t body_size;
		unsigned int status;
		const char *reason;
		const char *expected_text;
	} cases[] = {
		{ "PUT", "/v1/contracts/w", "1", NULL,
		  "{\"workspace\":\"w\",\"keys\":[\"k\"],\"lmit\":1}", 0, 400,
		  "invalid", "contract: lmit: unknown field" },
		{ "PUT", "/v1/contracts/v", "2", NULL,
		  "{\"workspace\":\"w\",\"keys\":[\"k\"]}", 0, 400, "invalid",
		  "contract: workspace" },
		{ "PUT", "/v1/contracts/w", NULL, NULL, "{}", 0, 400,
		  "malformed", "X-Change-Id" },
		{ "PUT", "/v1/contracts/w", "3", "x", "{}", 0, 400, "malformed",
		  "X-Expected-Revision" },
		{ "PUT", "/v1/contracts/w", "4", NULL, NULL, 0, 400,
		  "malformed", "the body must be a contract" },
		{ "PUT", "/v1/contracts/w", "5", NULL, large, sizeof(large) - 1,
		  413, "body_too_large", "too large" },
		{ "DELETE", "/v1/contracts/w", "6", "7", NULL, 0, 409,
		  "conflict",
		  "\"expected_revision\":7,\"present_revision\":0" },
		{ "DELETE", "/v1/contracts/w", "7", NULL, NULL, 0, 404,
		  "not_found", "no such item" },
		{ "POST", "/v1/contracts/w", "8", NULL, "{}", 0, 405,
		  "method_not_allowed", "method" },
		{ "GET", "/v1/contracts/a/b", NULL, NULL, NULL, 0, 404,
		  "path_unknown", "no such path" },
		{ "POST", "/v1/stops", "9", NULL, "{\"kind\":\"rack\"}", 0, 400,
		  "malformed", "kind: must be one of server, instance" },
		{ "POST", "/v1/members", NULL, NULL,
		  "{\"name\":\"c\",\"address\":\"host:1\"}", 0, 400,
		  "malformed", "address: must be IP:PORT" },
		{ "GET", "/v1/in-force", NULL, NULL, NULL, 0, 400, "malformed",
		  "revision" },
	};
	SoupSession *session = soup_session_new();
	fixture_t fixture;
	const char *address;
	size_t i;

	fixture_init_(&fixture);
	address = fixture.group->control[1]->http;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		gint64 before = refusal_count_read_(address, cases[i].reason);
		char *uri =
			g_strdup_printf("http://%s%s", address, cases[i].path);
		SoupMessage *message = soup_message_new(cases[i].method, uri);
		SoupMessageHeaders *headers =
			soup_message_get_request_headers(message);
		char *reason = g_strdup_printf("{\"error\":{\"reason\":\"%s\"",
					       cases[i].reason);
		GBytes *answer;
		char *text;

		if (cases[i].change_id)
			soup_message_headers_replace(
				headers, CB_OPERATOR_CHANGE_ID_HEADER,
				cases[i].change_id);
		if (cases[i].expected_revision)
			soup_message_headers_replace(
				headers, CB_OPERATOR_EXPECTED_HEADER,
				cases[i].expected_revision);
		if (cases[i].body) {
			size_t size = cases[i].body_size ?
					      cases[i].body_size :
					      strlen(cases[i].body);
			GBytes *body = g_bytes_new_static(cases[i].body, size);

			soup_message_set_request_body_from_bytes(
				message, "application/json", body);
			g_bytes_unref(body);
			if (cases[i].body_size)
				soup_message_headers_set_expectations(
					headers, SOUP_EXPECTATION_CONTINUE);
		}
		answer = soup_session_send_and_read(session, message, NULL,
						    NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(answer);
		text = g_strndup(g_bytes_get_size(answer) ?
					 g_bytes_get_data(answer, NULL) :
					 "",
				 g_bytes_get_size(answer));
		CU_ASSERT_EQUAL(soup_message_get_status(message),
				cases[i].status);
		CU_ASSERT_TRUE(g_str_has_prefix(text, reason));
		CU_ASSERT_PTR_NOT_NULL(strstr(text, cases[i].expected_text));
		CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"executed\":\"no\""));
		CU_ASSERT_EQUAL(refusal_count_read_(address, cases[i].reason),
				before + 1);
		if (!strstr(text, cases[i].expected_text))
			printf("    case %zu: %s\n", i, text);
		g_free(text);
		g_bytes_unref(answer);
		g_free(reason);
		g_object_unref(message);
		g_free(uri);
	}
	fixture_clear_(&fixture);
	g_object_unref(session);
}

/*
 * A change that is resent with its change ID gets the first answer, also when
 * the leader was killed in between: it must not be applied a second time.
 */
static void change_id_keeps_its_answer_without_the_leader(void)
{
	fixture_t fixture;
	gint64 first;
	int leader;

	fixture_init_(&fixture);
	leader = support_group_leader(fixture.group);
	CU_ASSERT_TRUE_FATAL(leader >= 0);
	first = contract_put_revision_(&fixture, "--change-id a --expect 0");
	CU_ASSERT_TRUE(first > 0);
	support_daemon_kill(fixture.group->control[leader]);
	CU_ASSERT_EQUAL(contract_put_revision_(&fixture,
					       "--change-id a --expect 0"),
			first);
	CU_ASSERT_TRUE(contract_put_revision_(&fixture, "--change-id b") >
		       first);
	CU_ASSERT_EQUAL(contract_put_revision_(&fixture,
					       "--change-id a --expect 0"),
			first);
	command_check_(&fixture, "contract put FILE --change-id c --expect 0",
		       CB_EXIT_CONFLICT, "the present revision is");
	fixture_clear_(&fixture);
}

/*
 * Without a majority no change is accepted, and the status is not confirmed;
 * with a majority again, the same change succeeds.
 */
static void changes_need_a_majority(void)
{
	fixture_t fixture;
	int leader;
	int i;

	fixture_init_(&fixture);
	leader = support_group_leader(fixture.group);
	CU_ASSERT_TRUE_FATAL(leader >= 0);
	for (i = 0; i < 2; i++)
		support_daemon_kill(fixture.group->control[(leader + i) % 3]);
	command_check_(&fixture,
		       "--timeout-ms 4000 contract put FILE --change-id a",
		       CB_EXIT_UNAVAILABLE, "currantbridge:");
	command_check_(&fixture, "--timeout-ms 1000 contract list",
		       CB_EXIT_UNAVAILABLE, "no control instance answered");
	command_check_(&fixture, "status", CB_EXIT_OK, "NOT CONFIRMED");
	support_daemon_start(fixture.group->control[leader]);
	command_check_(&fixture,
		       "--timeout-ms 20000 contract put FILE --change-id a",
		       CB_EXIT_OK, "accepted at revision");
	command_check_(&fixture, "--timeout-ms 20000 status", CB_EXIT_OK,
		       "1 contracts");
	fixture_clear_(&fixture);
}

/* While the control clients don't run, --wait lists them as missing. */
static void wait_lists_missing_entry_instances(void)
{
	fixture_t fixture;
	command_run_t run;

	fixture_init_(&fixture);
	run = command_run_(&fixture,
			   "--timeout-ms 800 contract put FILE --wait", FALSE);
	CU_ASSERT_EQUAL(run.exit_code, CB_EXIT_UNAVAILABLE);
	CU_ASSERT_PTR_NOT_NULL(strstr(run.stdout_text, "accepted at revision"));
	CU_ASSERT_PTR_NOT_NULL(strstr(run.stdout_text, "in force on 0 of 3"));
	CU_ASSERT_PTR_NOT_NULL(strstr(run.stdout_text, "  missing: "));
	command_run_clear_(&run);
	command_check_(&fixture, "--timeout-ms 15000 contract put FILE --wait",
		       CB_EXIT_OK, "in force on 3 of 3");
	fixture_clear_(&fixture);
}

/*
 * Sends one request on a connection.  Returns the first bytes received, or an
 * empty string if there are none within 1 s.
 */
static char *raw_request_send_(GSocketConnection *connection, const char *path)
{
	GIOStream *stream = G_IO_STREAM(connection);
	char *request =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n",
				path);
	char answer[4096] = { 0 };
	gssize size;

	g_socket_set_timeout(g_socket_connection_get_socket(connection), 1);
	g_output_stream_write_all(g_io_stream_get_output_stream(stream),
				  request, strlen(request), NULL, NULL, NULL);
	size = g_input_stream_read(g_io_stream_get_input_stream(stream), answer,
				   sizeof(answer) - 1, NULL, NULL);
	g_free(request);
	return g_strndup(answer, MAX(size, 0));
}

/*
 * A connection either serves further requests, or the answer has the header
 * "Connection: close": clients must not send on a connection that closes.
 */
static void closing_connection_is_announced(void)
{
	GSocketClient *client = g_socket_client_new();
	support_group_t *group = support_group_new(1, &timeouts);
	GSocketConnection *connection;
	char *first;
	char *second;

	CU_ASSERT_TRUE_FATAL(support_wait_leader(group, START_TIMEOUT_MS));
	connection =
		g_socket_client_connect_to_host(client, group->control[0]->http,
						0, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(connection);
	first = raw_request_send_(connection, "/v1/status");
	second = raw_request_send_(connection, "/v1/status");
	CU_ASSERT_TRUE(g_str_has_prefix(first, "HTTP/1.1 200"));
	CU_ASSERT_TRUE(strstr(first, "\r\nConnection: close\r\n") ||
		       g_str_has_prefix(second, "HTTP/1.1 200"));
	g_free(second);
	g_free(first);
	g_object_unref(connection);
	g_object_unref(client);
	support_group_delete(group);
}

static CU_TestInfo operator_tests[] = {
	{ "commands_report_their_result", commands_report_their_result },
	{ "refusals_are_json_and_counted", refusals_are_json_and_counted },
	{ "change_id_keeps_its_answer_without_the_leader",
	  change_id_keeps_its_answer_without_the_leader },
	{ "changes_need_a_majority", changes_need_a_majority },
	{ "wait_lists_missing_entry_instances",
	  wait_lists_missing_entry_instances },
	{ "closing_connection_is_announced", closing_connection_is_announced },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "operator",
				    .pTests = operator_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	return support_run(suites);
}
