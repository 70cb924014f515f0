#include <signal.h>
#include <string.h>

#include "support_daemons.h"
#include "support_main.h"
#include "support_programs.h"

/*
 * Sends SIGHUP to real processes while they start and while they stop.  A program
 * must not end by it, and must reload its settings once it runs.
 */
#define START_TIMEOUT_MS 20000
#define HEARTBEAT_MS 1000
#define SIGNAL_GAP_US 100
#define PRINTED_LOG_CHARACTERS 2000
#define STARTED_EVENT "PROCESS_STARTED"
#define RELOADING_EVENT "PROCESS_RELOADING"

/* Returns the settings of a program in a group, as JSON. */
typedef char *(*settings_fn_t)(const support_group_t *group);

static char *control_settings_(const support_group_t *group)
{
	int port = support_free_port();

	return g_strdup_printf("{\"name\":\"p\",\"listen_http\":"
			       "\"127.0.0.1:%d\",\"listen_peers\":"
			       "\"127.0.0.1:%d\",\"data_folder\":\"%s/data\","
			       "\"members\":[\"p=127.0.0.1:%d\"]}",
			       (int)support_free_port(), port, group->folder,
			       port);
}

static char *entry_settings_(const support_group_t *group)
{
	(void)group;
	return g_strdup_printf("{\"name\":\"p\",\"listen\":\"127.0.0.1:%d\","
			       "\"data_centre\":\"z\","
			       "\"control\":[\"127.0.0.1:%d\"]}",
			       (int)support_free_port(),
			       (int)support_free_port());
}

/* Begins the settings of a program of the platform folder. */
static GString *platform_settings_begin_(void)
{
	int port = support_free_port();
	char *seeds = g_strdup_printf("\"127.0.0.1:%d\"", port);
	GString *settings = support_program_settings("p", "127.0.0.1", port,
						     seeds, HEARTBEAT_MS);

	g_free(seeds);
	return settings;
}

static char *platform_control_settings_(const support_group_t *group)
{
	GString *settings = platform_settings_begin_();

	g_string_append_printf(settings,
			       ",\"first_start\":true,\"listen_control\":"
			       "\"127.0.0.1:%d\",\"data_folder\":\"%s/data\"}",
			       (int)support_free_port(), group->folder);
	return g_string_free(settings, FALSE);
}

static char *platform_entry_settings_(const support_group_t *group)
{
	GString *settings = platform_settings_begin_();

	(void)group;
	g_string_append_printf(settings,
			       ",\"grace_s\":2,\"address_ttl_s\":1,"
			       "\"listen_front\":\"127.0.0.1:%d\","
			       "\"listen_ready\":\"127.0.0.1:%d\","
			       "\"listen_addresses\":\"127.0.0.1:%d\"}",
			       (int)support_free_port(),
			       (int)support_free_port(),
			       (int)support_free_port());
	return g_string_free(settings, FALSE);
}

static const struct {
	const char *program;
	settings_fn_t settings;
	const char *config_variable;
} program_table[] = {
	{ "cb-control", control_settings_, NULL },
	{ "cb-entry", entry_settings_, NULL },
	{ "cb-platform-control", platform_control_settings_,
	  "CURRANTBRIDGE_NODE_FILE" },
	{ "cb-platform-entry", platform_entry_settings_,
	  "CURRANTBRIDGE_NODE_FILE" },
};

/* Returns a daemon's log so far, to be freed. */
static char *log_read_(const support_daemon_t *daemon)
{
	char *path = g_strdup_printf("%s.log", daemon->folder);
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = g_strdup("");
	g_free(path);
	return text;
}

static gboolean log_has_(const support_daemon_t *daemon, const char *event)
{
	char *text = log_read_(daemon);
	gboolean has_event = strstr(text, event) != NULL;

	g_free(text);
	return has_event;
}

static gboolean daemon_has_started_(void *user_data)
{
	return log_has_(user_data, STARTED_EVENT);
}

static gboolean daemon_has_ended_or_reloaded_(void *user_data)
{
	return !support_daemon_runs(user_data) ||
	       log_has_(user_data, RELOADING_EVENT);
}

/* Adds the program of a row of the table to a group. */
static support_daemon_t *program_add_(support_group_t *group, size_t row)
{
	char *settings = program_table[row].settings(group);
	support_daemon_t *daemon =
		support_group_add(group, program_table[row].program, "p", NULL,
				  settings);

	daemon->config_variable = program_table[row].config_variable;
	g_free(settings);
	return daemon;
}

/* Starts a daemon that gets SIGHUP from its first call in main() on. */
static void daemon_start_with_series_(support_daemon_t *daemon)
{
	g_setenv("LD_PRELOAD", CB_PROGRAM_DIR "/libhang-up-series.so", TRUE);
	/* The library comes before the sanitizer's own. */
	g_setenv("ASAN_OPTIONS", "verify_asan_link_order=0", TRUE);
	support_daemon_start(daemon);
	g_unsetenv("LD_PRELOAD");
	g_unsetenv("ASAN_OPTIONS");
}

/* Prints the beginning of what a failed program has logged. */
static void failure_print_(size_t row, const support_daemon_t *daemon,
			   const char *what)
{
	char *text = log_read_(daemon);

	printf("    %s %s; its log:\n%.*s\n", program_table[row].program, what,
	       PRINTED_LOG_CHARACTERS, text);
	g_free(text);
}

/*
 * SIGHUP from the first call in main() on must not end a program, and must have
 * it reload its settings once it runs.
 */
static void hang_up_does_not_end_starting_program(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(program_table); i++) {
		support_group_t *group = support_group_new(0, NULL);
		support_daemon_t *daemon = program_add_(group, i);
		gboolean has_reloaded;

		daemon_start_with_series_(daemon);
		CU_ASSERT_TRUE(support_wait_until(daemon_has_ended_or_reloaded_,
						  daemon, START_TIMEOUT_MS));
		has_reloaded = support_daemon_runs(daemon) &&
			       log_has_(daemon, RELOADING_EVENT);
		CU_ASSERT_TRUE(has_reloaded);
		if (!has_reloaded)
			failure_print_(i, daemon, "ended, or did not reload");
		support_group_delete(group);
	}
}

/* SIGHUP must not change how a program ends that is stopped by SIGTERM. */
static void hang_up_does_not_end_stopping_program(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(program_table); i++) {
		support_group_t *group = support_group_new(0, NULL);
		support_daemon_t *daemon = program_add_(group, i);
		int exit_code;

		support_daemon_start(daemon);
		CU_ASSERT_TRUE(support_wait_until(daemon_has_started_, daemon,
						  START_TIMEOUT_MS));
		support_daemon_signal(daemon, SIGTERM);
		while (support_daemon_runs(daemon)) {
			support_daemon_signal(daemon, SIGHUP);
			g_usleep(SIGNAL_GAP_US);
		}
		exit_code = support_daemon_wait(daemon);
		CU_ASSERT_EQUAL(exit_code, 0);
		if (exit_code)
			failure_print_(i, daemon, "did not stop as it should");
		support_group_delete(group);
	}
}

static CU_TestInfo signals_tests[] = {
	{ "hang_up_does_not_end_starting_program",
	  hang_up_does_not_end_starting_program },
	{ "hang_up_does_not_end_stopping_program",
	  hang_up_does_not_end_stopping_program },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "signals",
				    .pTests = signals_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
