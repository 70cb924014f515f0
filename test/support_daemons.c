#include "support_daemons.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#define HTTP_TIMEOUT_S 2
#define POLL_INTERVAL_US 2000
#define US_PER_MS 1000
#define FIRST_PORT 10000
#define PORT_COUNT 22000
/* Makes test programs that run at the same time begin at different ports. */
#define PORT_OFFSET_PER_PROCESS 61
/* Two pages: small enough that a daemon's first log lines fill the pipe. */
#define UNREAD_PIPE_BYTES 8192
/* What support_group_report() prints of each log. */
#define REPORTED_LINES 5
#define REPORTED_LINE_CHARACTERS 300

static gboolean port_is_free_(uint16_t port)
{
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);
	gboolean is_free = g_socket_bind(socket, address, FALSE, NULL);

	g_object_unref(address);
	g_object_unref(socket);
	return is_free;
}

/*
 * Returns a loopback port that is not in use at present.  It lies below the
 * ephemeral ports, so that no outgoing connection can occupy it while its
 * daemon is stopped.
 */
uint16_t support_free_port(void)
{
	static uint32_t next_offset;
	uint16_t port;

	if (!next_offset)
		next_offset = (uint32_t)getpid() * PORT_OFFSET_PER_PROCESS;
	do {
		port = (uint16_t)(FIRST_PORT + next_offset++ % PORT_COUNT);
	} while (!port_is_free_(port));
	return port;
}

static char *free_address_new_(void)
{
	return g_strdup_printf("127.0.0.1:%u", support_free_port());
}

/* Deletes a file, or a folder with everything in it. */
static void path_delete_(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	if (!dir) {
		g_remove(path);
		return;
	}
	while ((name = g_dir_read_name(dir))) {
		char *child = g_build_filename(path, name, NULL);

		path_delete_(child);
		g_free(child);
	}
	g_dir_close(dir);
	g_rmdir(path);
}

static void daemon_delete_(void *data)
{
	support_daemon_t *daemon = data;

	support_daemon_kill(daemon);
	g_free(daemon->program);
	g_free(daemon->name);
	g_free(daemon->folder);
	g_free(daemon->config);
	g_free(daemon->http);
	g_free(daemon->peers);
	g_free(daemon);
}

static char *programs_folder;
static pid_t programs_folder_owner;

/* Deletes the folder of programs, but not for a child of the test program. */
static void programs_folder_delete_(void)
{
	if (getpid() == programs_folder_owner)
		path_delete_(programs_folder);
}

/*
 * Returns the folder with the test program's own copies of the programs that it
 * has started, which a build beside the test does not replace.
 */
const char *support_programs_folder(void)
{
	if (!programs_folder) {
		programs_folder =
			g_dir_make_tmp("currantbridge-programs-XXXXXX", NULL);
		g_assert(programs_folder);
		programs_folder_owner = getpid();
		atexit(programs_folder_delete_);
	}
	return programs_folder;
}

/* Returns the path of the copy of a program, to be freed; copies it once. */
char *support_program_copy(const char *program)
{
	char *original = g_build_filename(CB_PROGRAM_DIR, program, NULL);
	char *copy = g_build_filename(support_programs_folder(), program, NULL);
	GFile *source = g_file_new_for_path(original);
	GFile *target = g_file_new_for_path(copy);
	GError *error = NULL;

	if (!g_file_test(copy, G_FILE_TEST_EXISTS) &&
	    !g_file_copy(source, target, G_FILE_COPY_NONE, NULL, NULL, NULL,
			 &error))
		g_error("%s: %s", original, error->message);
	g_object_unref(target);
	g_object_unref(source);
	g_free(original);
	return copy;
}

static support_daemon_t *daemon_new_(support_group_t *group,
				     const char *program, const char *name,
				     const char *http, const char *settings)
{
	support_daemon_t *daemon = g_new0(support_daemon_t, 1);
	char *file = g_strdup_printf("%s.json", name);

	daemon->program = support_program_copy(program);
	daemon->name = g_strdup(name);
	daemon->folder = g_build_filename(group->folder, name, NULL);
	daemon->config = g_build_filename(group->folder, file, NULL);
	daemon->http = g_strdup(http);
	g_assert(g_file_set_contents(daemon->config, settings, -1, NULL));
	g_free(file);
	return daemon;
}

/*
 * Adds a daemon that is not a control instance to a group, which owns it.
 * `settings` is JSON text.  The daemon is not started: call
 * support_daemon_start().
 */
support_daemon_t *support_group_add(support_group_t *group, const char *program,
				    const char *name, const char *http,
				    const char *settings)
{
	support_daemon_t *daemon =
		daemon_new_(group, program, name, http, settings);

	g_ptr_array_add(group->others, daemon);
	return daemon;
}

static support_daemon_t *control_new_(support_group_t *group, size_t number,
				      const char *peers, const char *members,
				      const support_timeouts_t *timeouts)
{
	char *name = g_strdup_printf("control%zu", number);
	char *http = free_address_new_();
	char *folder = g_build_filename(group->folder, name, NULL);
	char *settings = g_strdup_printf(
		"{\"name\":\"%s\",\"listen_http\":\"%s\","
		"\"listen_peers\":\"%s\",\"data_folder\":\"%s\","
		"\"members\":[%s],\"heartbeat_ms\":%" G_GINT64_FORMAT
		",\"election_timeout_ms\":%" G_GINT64_FORMAT
		",\"silence_ms\":%" G_GINT64_FORMAT "}",
		name, http, peers, folder, members, timeouts->heartbeat_ms,
		timeouts->election_timeout_ms, timeouts->silence_ms);
	support_daemon_t *daemon =
		daemon_new_(group, "cb-control", name, http, settings);

	daemon->peers = g_strdup(peers);
	g_free(settings);
	g_free(folder);
	g_free(http);
	g_free(name);
	return daemon;
}

/*
 * Starts a group of control instances in a new temporary folder.  If
 * `timeouts` is NULL, they have the daemon's default timeouts.
 */
support_group_t *support_group_new(size_t control_count,
				   const support_timeouts_t *timeouts)
{
	static const support_timeouts_t defaults = { 100, 500, 3000 };
	support_group_t *group = g_new0(support_group_t, 1);
	GString *members = g_string_new(NULL);
	GPtrArray *peers = g_ptr_array_new_with_free_func(g_free);
	size_t i;

	group->folder = g_dir_make_tmp("currantbridge-XXXXXX", NULL);
	g_assert(group->folder);
	group->others = g_ptr_array_new_with_free_func(daemon_delete_);
	group->control = g_new0(support_daemon_t *, control_count);
	group->control_count = control_count;
	for (i = 0; i < control_count; i++) {
		g_ptr_array_add(peers, free_address_new_());
		g_string_append_printf(members, "%s\"control%zu=%s\"",
				       i ? "," : "", i + 1,
				       (char *)g_ptr_array_index(peers, i));
	}
	for (i = 0; i < control_count; i++) {
		group->control[i] =
			control_new_(group, i + 1, g_ptr_array_index(peers, i),
				     members->str,
				     timeouts ? timeouts : &defaults);
		support_daemon_start(group->control[i]);
	}
	g_ptr_array_unref(peers);
	g_string_free(members, TRUE);
	return group;
}

/* Prints whether a daemon runs, and the last lines of its log. */
static void daemon_report_(const support_daemon_t *daemon)
{
	char *path = g_strdup_printf("%s.log", daemon->folder);
	char *text = NULL;
	char **lines;
	unsigned int count;
	unsigned int i;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = g_strdup("");
	lines = g_strsplit(g_strchomp(text), "\n", -1);
	count = g_strv_length(lines);
	printf("    %s %s, %u lines of log\n", daemon->name,
	       support_daemon_runs(daemon) ? "runs" : "does not run", count);
	i = count > REPORTED_LINES ? count - REPORTED_LINES : 0;
	for (; i < count; i++)
		printf("        %.*s\n", REPORTED_LINE_CHARACTERS, lines[i]);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}

/*
 * Prints the state of all daemons, for a test whose start failed, and has their
 * files kept when the group is deleted.
 */
void support_group_report(support_group_t *group)
{
	size_t i;

	group->is_kept = TRUE;
	for (i = 0; i < group->control_count; i++)
		daemon_report_(group->control[i]);
	for (i = 0; i < group->others->len; i++)
		daemon_report_(g_ptr_array_index(group->others, i));
	printf("    their files are in %s\n", group->folder);
}

/*
 * Kills the daemons that still run, frees the group and deletes its folder,
 * unless CB_KEEP is set in the environment or support_group_report() was called.
 */
void support_group_delete(support_group_t *group)
{
	size_t i;

	g_ptr_array_unref(group->others);
	for (i = 0; i < group->control_count; i++)
		daemon_delete_(group->control[i]);
	if (g_getenv("CB_KEEP") || group->is_kept)
		printf("    files kept in %s\n", group->folder);
	else
		path_delete_(group->folder);
	g_free(group->control);
	g_free(group->folder);
	g_free(group);
}

/*
 * Runs in the child, before the program does: the daemon is killed when the test
 * program ends.
 */
static void daemon_signals_set_(void *user_data)
{
	const support_daemon_t *daemon = user_data;
	sigset_t signals;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (!daemon->holds_reloads)
		return;
	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	sigprocmask(SIG_BLOCK, &signals, NULL);
}

/*
 * Starts a daemon.  Its standard output is `out_fd`, whose ownership is taken,
 * or its log file if that is negative.
 */
static void daemon_start_(support_daemon_t *daemon, int out_fd)
{
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	char *log = g_strdup_printf("%s.log", daemon->folder);
	GError *error = NULL;
	int fd = g_open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	g_assert(!daemon->process && fd >= 0);
	g_subprocess_launcher_take_stdout_fd(launcher,
					     out_fd >= 0 ? out_fd : dup(fd));
	g_subprocess_launcher_take_stderr_fd(launcher, fd);
	g_subprocess_launcher_set_child_setup(launcher, daemon_signals_set_,
					      daemon, NULL);
	if (daemon->config_variable)
		g_subprocess_launcher_setenv(launcher, daemon->config_variable,
					     daemon->config, TRUE);
	daemon->process =
		g_subprocess_launcher_spawn(launcher, &error, daemon->program,
					    "--config", daemon->config, NULL);
	if (!daemon->process)
		g_error("%s: %s", daemon->program, error->message);
	g_object_unref(launcher);
	g_free(log);
}

/* Starts a daemon that does not run; its log is appended to NAME.log. */
void support_daemon_start(support_daemon_t *daemon)
{
	daemon_start_(daemon, -1);
}

/*
 * Starts a daemon whose standard output is a pipe of UNREAD_PIPE_BYTES that
 * only the test reads.  Returns the file descriptor to read from.
 */
int support_daemon_start_unread(support_daemon_t *daemon)
{
	int fds[2];

	g_assert(!pipe2(fds, O_CLOEXEC));
	g_assert(fcntl(fds[1], F_SETPIPE_SZ, UNREAD_PIPE_BYTES) > 0);
	daemon_start_(daemon, fds[1]);
	return fds[0];
}

/* Returns whether a daemon was started and has not exited. */
gboolean support_daemon_runs(const support_daemon_t *daemon)
{
	return daemon->process &&
	       g_subprocess_get_identifier(daemon->process) != NULL;
}

/* Sends a signal to a daemon that runs. */
void support_daemon_signal(support_daemon_t *daemon, int signal_number)
{
	g_assert(daemon->process);
	g_subprocess_send_signal(daemon->process, signal_number);
}

/*
 * Waits until a daemon exits.  Returns its exit code, or -1 if a signal killed
 * it.
 */
int support_daemon_wait(support_daemon_t *daemon)
{
	int exit_code = -1;

	g_subprocess_wait(daemon->process, NULL, NULL);
	if (g_subprocess_get_if_exited(daemon->process))
		exit_code = g_subprocess_get_exit_status(daemon->process);
	g_clear_object(&daemon->process);
	return exit_code;
}

/* Sends SIGTERM to a daemon, waits until it exits and returns its exit code. */
int support_daemon_stop(support_daemon_t *daemon)
{
	support_daemon_signal(daemon, SIGTERM);
	return support_daemon_wait(daemon);
}

/* Kills a daemon with SIGKILL if it was started. */
void support_daemon_kill(support_daemon_t *daemon)
{
	if (!daemon->process)
		return;
	support_daemon_signal(daemon, SIGKILL);
	support_daemon_wait(daemon);
}

/* Deletes the data folder of a daemon that does not run. */
void support_daemon_erase_data(support_daemon_t *daemon)
{
	g_assert(!daemon->process);
	path_delete_(daemon->folder);
}

/*
 * Copies the data folder of a daemon that does not run.  Returns the path of
 * the copy, which the caller frees.
 */
char *support_daemon_copy_data(support_daemon_t *daemon)
{
	char *copy = g_strdup_printf("%s.copy", daemon->folder);
	GDir *dir = g_dir_open(daemon->folder, 0, NULL);
	const char *name;

	g_assert(!daemon->process && dir);
	g_mkdir(copy, 0700);
	while ((name = g_dir_read_name(dir))) {
		char *from = g_build_filename(daemon->folder, name, NULL);
		char *to = g_build_filename(copy, name, NULL);
		char *data;
		gsize size;

		g_assert(g_file_get_contents(from, &data, &size, NULL));
		g_assert(g_file_set_contents(to, data, (gssize)size, NULL));
		g_free(data);
		g_free(from);
		g_free(to);
	}
	g_dir_close(dir);
	return copy;
}

/*
 * Runs cb-control --restore with the daemon's settings on the folder `copy`.
 * Returns the exit code, or -1 if a signal killed it.
 */
int support_daemon_restore(support_daemon_t *daemon, const char *copy)
{
	g_assert(!daemon->process);
	daemon->process =
		g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_SILENCE |
					 G_SUBPROCESS_FLAGS_STDERR_SILENCE,
				 NULL, daemon->program, "--config",
				 daemon->config, "--restore", copy, NULL);
	return support_daemon_wait(daemon);
}

/*
 * Runs the default main loop until the condition holds.  Returns FALSE if it
 * does not hold within `timeout_ms`.
 */
gboolean support_wait_until(support_condition_fn_t condition, void *user_data,
			    int64_t timeout_ms)
{
	int64_t deadline_us = g_get_monotonic_time() + timeout_ms * US_PER_MS;

	while (!condition(user_data)) {
		if (g_get_monotonic_time() >= deadline_us)
			return FALSE;
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(POLL_INTERVAL_US);
	}
	return TRUE;
}

/*
 * Sends one HTTP request and waits for the answer.  Returns its status, or 0
 * if there was none.  The body of the answer is stored in `answer` unless that
 * is NULL; the caller frees it.
 */
unsigned int support_http_request(const char *method, const char *address,
				  const char *path, const char *body,
				  char **answer)
{
	SoupSession *session =
		soup_session_new_with_options("timeout", HTTP_TIMEOUT_S, NULL);
	char *uri = g_strdup_printf("http://%s%s", address, path);
	SoupMessage *message = soup_message_new(method, uri);
	GBytes *bytes;
	unsigned int status = 0;

	if (body) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(message,
							 "application/json",
							 bytes);
		g_bytes_unref(bytes);
	}
	bytes = soup_session_send_and_read(session, message, NULL, NULL);
	if (bytes) {
		status = soup_message_get_status(message);
		if (answer)
			*answer = g_strndup(g_bytes_get_data(bytes, NULL),
					    g_bytes_get_size(bytes));
		g_bytes_unref(bytes);
	}
	g_object_unref(message);
	g_object_unref(session);
	g_free(uri);
	return status;
}

/*
 * Returns the index in `control` of the first running instance that reports
 * being the leader, or -1.
 */
int support_group_leader(support_group_t *group)
{
	int leader = -1;
	size_t i;

	for (i = 0; i < group->control_count && leader < 0; i++) {
		char *metrics = NULL;

		if (!group->control[i]->process)
			continue;
		if (support_http_request("GET", group->control[i]->http,
					 "/metrics", NULL,
					 &metrics) == SOUP_STATUS_OK &&
		    strstr(metrics, "\ncb_control_leader 1\n"))
			leader = (int)i;
		g_free(metrics);
	}
	return leader;
}

static gboolean group_has_leader_(void *user_data)
{
	return support_group_leader(user_data) >= 0;
}

/* Waits until a running control instance is the leader. */
gboolean support_wait_leader(support_group_t *group, int64_t timeout_ms)
{
	return support_wait_until(group_has_leader_, group, timeout_ms);
}
