#include "support_daemons.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#define HTTP_TIMEOUT_S 2
#define POLL_US 2000
#define US_PER_MS 1000
#define FIRST_PORT 10000
#define PORT_COUNT 22000
/* Keeps test programs that run side by side apart. */
#define PORTS_PER_PROCESS 61
/* Two pages: a daemon fills it with its first lines. */
#define UNREAD_PIPE_BYTES 8192

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
 * Returns a port of loopback that nothing listens on just now.  It lies below
 * those that the system gives to outgoing connections, so that none of these
 * takes it while its daemon is down.
 */
uint16_t support_free_port(void)
{
	static uint32_t next;
	uint16_t port;

	if (!next)
		next = (uint32_t)getpid() * PORTS_PER_PROCESS;
	do {
		port = (uint16_t)(FIRST_PORT + next++ % PORT_COUNT);
	} while (!port_is_free_(port));
	return port;
}

static char *free_address_(void)
{
	return g_strdup_printf("127.0.0.1:%u", support_free_port());
}

static void folder_erase_(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	if (!dir) {
		g_remove(folder);
		return;
	}
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		folder_erase_(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(folder);
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

static support_daemon_t *daemon_new_(support_group_t *group,
				     const char *program, const char *name,
				     const char *http, const char *settings)
{
	support_daemon_t *daemon = g_new0(support_daemon_t, 1);
	char *file = g_strdup_printf("%s.json", name);

	daemon->program = g_build_filename(CB_PROGRAM_DIR, program, NULL);
	daemon->name = g_strdup(name);
	daemon->folder = g_build_filename(group->folder, name, NULL);
	daemon->config = g_build_filename(group->folder, file, NULL);
	daemon->http = g_strdup(http);
	g_assert(g_file_set_contents(daemon->config, settings, -1, NULL));
	g_free(file);
	return daemon;
}

/*
 * Adds a daemon that is not a control instance, with its settings as JSON
 * text; it is started by support_daemon_start() and belongs to the group.
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
				      const support_bounds_t *bounds)
{
	char *name = g_strdup_printf("control%zu", number);
	char *http = free_address_();
	char *folder = g_build_filename(group->folder, name, NULL);
	char *settings = g_strdup_printf(
		"{\"name\":\"%s\",\"listen_http\":\"%s\","
		"\"listen_peers\":\"%s\",\"data_folder\":\"%s\","
		"\"members\":[%s],\"heartbeat_ms\":%" G_GINT64_FORMAT
		",\"election_timeout_ms\":%" G_GINT64_FORMAT
		",\"silence_ms\":%" G_GINT64_FORMAT "}",
		name, http, peers, folder, members, bounds->heartbeat_ms,
		bounds->election_timeout_ms, bounds->silence_ms);
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
 * Starts a group of control instances in a new folder; NULL bounds are the
 * daemon's defaults.
 */
support_group_t *support_group_new(size_t control_count,
				   const support_bounds_t *bounds)
{
	static const support_bounds_t defaults = { 100, 500, 3000 };
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
		g_ptr_array_add(peers, free_address_());
		g_string_append_printf(members, "%s\"control%zu=%s\"",
				       i ? "," : "", i + 1,
				       (char *)g_ptr_array_index(peers, i));
	}
	for (i = 0; i < control_count; i++) {
		group->control[i] =
			control_new_(group, i + 1, g_ptr_array_index(peers, i),
				     members->str, bounds ? bounds : &defaults);
		support_daemon_start(group->control[i]);
	}
	g_ptr_array_unref(peers);
	g_string_free(members, TRUE);
	return group;
}

/* Kills what still runs and erases the folder, unless CB_KEEP is set. */
void support_group_delete(support_group_t *group)
{
	size_t i;

	g_ptr_array_unref(group->others);
	for (i = 0; i < group->control_count; i++)
		daemon_delete_(group->control[i]);
	if (g_getenv("CB_KEEP"))
		printf("    kept %s\n", group->folder);
	else
		folder_erase_(group->folder);
	g_free(group->control);
	g_free(group->folder);
	g_free(group);
}

/* Ends a daemon with the test, also where that is broken off. */
static void end_with_parent_(void *unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts a daemon whose standard output is `out_fd`, which is taken. */
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
	g_subprocess_launcher_set_child_setup(launcher, end_with_parent_, NULL,
					      NULL);
	daemon->process =
		g_subprocess_launcher_spawn(launcher, &error, daemon->program,
					    "--config", daemon->config, NULL);
	if (!daemon->process)
		g_error("%s: %s", daemon->program, error->message);
	g_object_unref(launcher);
	g_free(log);
}

/* Starts a daemon that does not run; its log goes on in NAME.log. */
void support_daemon_start(support_daemon_t *daemon)
{
	daemon_start_(daemon, -1);
}

/*
 * The same, with standard output in a pipe of a few KB that nobody reads
 * until the test does; returns the end to read from.
 */
int support_daemon_start_unread(support_daemon_t *daemon)
{
	int fds[2];

	g_assert(!pipe2(fds, O_CLOEXEC));
	g_assert(fcntl(fds[1], F_SETPIPE_SZ, UNREAD_PIPE_BYTES) > 0);
	daemon_start_(daemon, fds[1]);
	return fds[0];
}

/* Tells whether a daemon that was started has not ended by itself. */
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

/* Waits for the end; returns the exit code, or -1 for a signal. */
int support_daemon_wait(support_daemon_t *daemon)
{
	int exit_code = -1;

	g_subprocess_wait(daemon->process, NULL, NULL);
	if (g_subprocess_get_if_exited(daemon->process))
		exit_code = g_subprocess_get_exit_status(daemon->process);
	g_clear_object(&daemon->process);
	return exit_code;
}

/* Asks a daemon to stop gracefully and returns its exit code. */
int support_daemon_stop(support_daemon_t *daemon)
{
	support_daemon_signal(daemon, SIGTERM);
	return support_daemon_wait(daemon);
}

/* Kills a daemon at once; one that does not run is left. */
void support_daemon_kill(support_daemon_t *daemon)
{
	if (!daemon->process)
		return;
	support_daemon_signal(daemon, SIGKILL);
	support_daemon_wait(daemon);
}

/* Erases the data folder of a daemon that does not run. */
void support_daemon_erase(support_daemon_t *daemon)
{
	g_assert(!daemon->process);
	folder_erase_(daemon->folder);
}

/* Copies the data folder of a daemon that does not run; frees the path. */
char *support_daemon_copy(support_daemon_t *daemon)
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

/* Runs cb-control --restore on the daemon's settings; its exit code. */
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
 * Runs the default loop until the condition holds; FALSE after `limit_ms`.
 */
gboolean support_wait(support_condition_fn_t condition, void *user_data,
		      int64_t limit_ms)
{
	int64_t end_us = g_get_monotonic_time() + limit_ms * US_PER_MS;

	while (!condition(user_data)) {
		if (g_get_monotonic_time() >= end_us)
			return FALSE;
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(POLL_US);
	}
	return TRUE;
}

/*
 * Makes one HTTP request and returns the status, or 0 without an answer.
 * The caller frees `answer`, which may be NULL.
 */
unsigned int support_http(const char *method, const char *address,
			  const char *path, const char *body, char **answer)
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

/* Returns the number in `control` of the instance that leads, or -1. */
int support_leader(support_group_t *group)
{
	int leader = -1;
	size_t i;

	for (i = 0; i < group->control_count && leader < 0; i++) {
		char *metrics = NULL;

		if (!group->control[i]->process)
			continue;
		if (support_http("GET", group->control[i]->http, "/metrics",
				 NULL, &metrics) == SOUP_STATUS_OK &&
		    strstr(metrics, "\ncb_control_leader 1\n"))
			leader = (int)i;
		g_free(metrics);
	}
	return leader;
}

static gboolean has_leader_(void *user_data)
{
	return support_leader(user_data) >= 0;
}

/* Waits until one of the running control instances leads. */
gboolean support_wait_leader(support_group_t *group, int64_t limit_ms)
{
	return support_wait(has_leader_, group, limit_ms);
}
