#include "rig.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
#define HEARTBEAT_MS 1200
#define HEARTBEAT_TIMEOUT_MS 1000
#define CALL_TIMEOUT_MS 3000
/* The platform starts a process again after this delay. */
#define RESTART_DELAY_MS 500
#define WATCH_INTERVAL_MS 20
#define STOP_MAX_MS 2000
/* Ports below those of outgoing connections. */
#define FIRST_PORT 12000
#define PORT_COUNT 18000
/* The last numbers of the processes' addresses, 127.0.0.N. */
#define CONTROL_IP 2
#define ENTRY_IP 20
#define SERVER_IP 60
#define ZONES 3

/* A process of the project. */
typedef struct process {
	char *name;
	const char *program;
	char *settings_path;
	char *log_path;
	char **environment;
	pid_t pid;
	unsigned int ends; /* ends by itself */
	int64_t restart_ms;
} process_t;

struct rig {
	char *folder;
	FILE *record;
	int64_t started_ms;
	unsigned int controls;
	unsigned int entries;
	char **control_addresses;
	char **entry_addresses;
	uint16_t internal_port;
	uint16_t peer_port;
	uint16_t metrics_port;
	process_t *processes;
	GMutex lock; /* guards processes and record */
	gboolean is_stopping;
	GThread *watcher;
};

int64_t rig_now_ms(void)
{
	return g_get_monotonic_time() / US_PER_MS;
}

void rig_sleep_ms(int64_t ms)
{
	g_usleep((unsigned long)(MAX(ms, 0) * US_PER_MS));
}

/* Whether the disruption is played; TROUBLE=0 leaves it out. */
gboolean rig_has_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

/* Writes a line to the record, with the seconds since the start. */
void rig_record(rig_t *rig, const char *format, ...)
{
	int64_t ms = rig_now_ms() - rig->started_ms;
	va_list arguments;
	char *line;

	va_start(arguments, format);
	line = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_mutex_lock(&rig->lock);
	fprintf(rig->record, "%4d.%03d %s\n", (int)(ms / MS_PER_S),
		(int)(ms % MS_PER_S), line);
	g_mutex_unlock(&rig->lock);
	g_free(line);
}

static struct sockaddr_in address_parse_(const char *text)
{
	char **parts = g_strsplit(text, ":", 2);
	struct sockaddr_in address = { .sin_family = AF_INET };

	(void)inet_pton(AF_INET, parts[0], &address.sin_addr);
	address.sin_port = htons((uint16_t)atoi(parts[1]));
	g_strfreev(parts);
	return address;
}

/* Returns a socket that listens at "IP:PORT", or -1. */
static int listen_at_(const char *text)
{
	struct sockaddr_in address = address_parse_(text);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int yes = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 512)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns a port that is free at the addresses 127.0.0.2 to 127.0.0.99. */
static uint16_t free_port_(void)
{
	static int next;
	unsigned int ip;

	if (!next)
		next = (int)(getpid() * 61 % PORT_COUNT);
	for (;;) {
		uint16_t port = (uint16_t)(FIRST_PORT + next++ % PORT_COUNT);

		for (ip = 2; ip < 100; ip++) {
			char *text = g_strdup_printf("127.0.0.%u:%u", ip, port);
			int fd = listen_at_(text);

			g_free(text);
			if (fd < 0)
				break;
			close(fd);
		}
		if (ip == 100)
			return port;
	}
}

/* Writes the settings that deploy/settings.json gives a process. */
static void settings_write_(const rig_t *rig, const process_t *process,
			    const char *ip, unsigned int zone, const char *more)
{
	GString *text = g_string_new(NULL);
	unsigned int i;

	g_string_printf(text,
			"{\"name\":\"%s\",\"data_centre\":\"z%u\","
			"\"ip\":\"%s\",\"seeds\":[",
			process->name, zone, ip);
	for (i = 0; i < MIN(rig->controls, 3); i++)
		g_string_append_printf(text, "%s\"%s\"", i ? "," : "",
				       rig->control_addresses[i]);
	g_string_append_printf(
		text,
		"],\"internal_port\":%u,\"peer_port\":%u,"
		"\"metrics_port\":%u,"
		"\"first_start\":true,\"heartbeat_ms\":%d,"
		"\"retry_window_s\":10,\"retry_ratio\":0.2,"
		"\"retry_extra\":450,\"grace_s\":8,%s,\"address_ttl_s\":2}",
		rig->internal_port, rig->peer_port, rig->metrics_port,
		HEARTBEAT_MS, more);
	if (!g_file_set_contents(process->settings_path, text->str, -1, NULL))
		fprintf(stderr, "cannot write %s\n", process->settings_path);
	g_string_free(text, TRUE);
}

static void process_init_(rig_t *rig, process_t *process, const char *kind,
			  unsigned int number, const char *program)
{
	process->name = g_strdup_printf("%s-%u", kind, number + 1);
	process->program = program;
	process->settings_path =
		g_strdup_printf("%s/%s.json", rig->folder, process->name);
	process->log_path =
		g_strdup_printf("%s/%s.log", rig->folder, process->name);
	process->environment =
		g_environ_setenv(g_get_environ(), "CURRANTBRIDGE_NODE_FILE",
				 process->settings_path, TRUE);
}

static void control_init_(rig_t *rig, unsigned int number)
{
	process_t *process = &rig->processes[number];
	char *ip = g_strdup_printf("127.0.0.%u", CONTROL_IP + number);
	char *more;

	process_init_(rig, process, "core", number,
		      "target/cb-platform-control");
	more = g_strdup_printf(
		"\"listen_control\":\"%s\",\"data_folder\":\"%s/%s\"",
		rig->control_addresses[number], rig->folder, process->name);
	settings_write_(rig, process, ip, number % ZONES, more);
	g_free(more);
	g_free(ip);
}

static void entry_init_(rig_t *rig, unsigned int number, uint16_t ready_port,
			uint16_t addresses_port)
{
	process_t *process = &rig->processes[rig->controls + number];
	char *ip = g_strdup_printf("127.0.0.%u", ENTRY_IP + number);
	char *more;

	process_init_(rig, process, "front", number,
		      "target/cb-platform-entry");
	more = g_strdup_printf("\"listen_front\":\"%s\","
			       "\"listen_ready\":\"%s:%u\","
			       "\"listen_addresses\":\"%s:%u\"",
			       rig->entry_addresses[number], ip, ready_port, ip,
			       addresses_port);
	settings_write_(rig, process, ip, number % ZONES, more);
	g_free(more);
	g_free(ip);
}

/*
 * Creates a deployment in a temporary folder; nothing runs yet.  `record_path`
 * is the file that rig_record() writes.
 */
rig_t *rig_new(unsigned int controls, unsigned int entries,
	       const char *record_path)
{
	rig_t *rig = g_new0(rig_t, 1);
	uint16_t control_port = free_port_();
	uint16_t front_port = free_port_();
	uint16_t ready_port = free_port_();
	uint16_t addresses_port = free_port_();
	unsigned int i;

	(void)signal(SIGPIPE, SIG_IGN);
	g_mutex_init(&rig->lock);
	rig->folder = g_dir_make_tmp("review-XXXXXX", NULL);
	rig->record = fopen(record_path, "w");
	rig->started_ms = rig_now_ms();
	rig->controls = controls;
	rig->entries = entries;
	rig->internal_port = free_port_();
	rig->peer_port = free_port_();
	rig->metrics_port = free_port_();
	rig->control_addresses = g_new0(char *, controls + 1);
	rig->entry_addresses = g_new0(char *, entries + 1);
	rig->processes = g_new0(process_t, controls + entries);
	if (!rig->folder || !rig->record) {
		fprintf(stderr, "cannot write files\n");
		exit(RIG_NOT_RUN);
	}
	for (i = 0; i < controls; i++)
		rig->control_addresses[i] =
			g_strdup_printf("127.0.0.%u:%u", CONTROL_IP + i,
					control_port);
	for (i = 0; i < entries; i++)
		rig->entry_addresses[i] =
			g_strdup_printf("127.0.0.%u:%u", ENTRY_IP + i,
					front_port);
	for (i = 0; i < controls; i++)
		control_init_(rig, i);
	for (i = 0; i < entries; i++)
		entry_init_(rig, i, ready_port, addresses_port);
	return rig;
}

/* Starts a process with the command of the deploy file. */
static gboolean process_start_(process_t *process)
{
	char *arguments[] = { (char *)process->program, NULL };
	posix_spawn_file_actions_t actions;
	posix_spawnattr_t attributes;
	sigset_t defaults;
	int code;

	(void)sigemptyset(&defaults);
	(void)sigaddset(&defaults, SIGPIPE);
	(void)posix_spawnattr_init(&attributes);
	(void)posix_spawnattr_setsigdefault(&attributes, &defaults);
	(void)posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
	(void)posix_spawn_file_actions_init(&actions);
	(void)posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
					       process->log_path,
					       O_WRONLY | O_CREAT | O_APPEND,
					       0600);
	(void)posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO,
					       STDERR_FILENO);
	code = posix_spawn(&process->pid, process->program, &actions,
			   &attributes, arguments, process->environment);
	(void)posix_spawn_file_actions_destroy(&actions);
	(void)posix_spawnattr_destroy(&attributes);
	if (code)
		process->pid = 0;
	return !code;
}

/* Notes the end of a process, which the platform starts again. */
static void process_check_(rig_t *rig, process_t *process)
{
	int64_t now_ms = rig_now_ms();
	int status;

	if (process->pid > 0 &&
	    waitpid(process->pid, &status, WNOHANG) == process->pid) {
		int ms = (int)(now_ms - rig->started_ms);

		process->pid = 0;
		process->ends++;
		process->restart_ms = now_ms + RESTART_DELAY_MS;
		fprintf(rig->record, "%4d.%03d %s ends by itself: %s %d\n",
			ms / MS_PER_S, ms % MS_PER_S, process->name,
			WIFSIGNALED(status) ? "signal" : "exit code",
			WIFSIGNALED(status) ? WTERMSIG(status) :
					      WEXITSTATUS(status));
	}
	if (!process->pid && now_ms >= process->restart_ms)
		(void)process_start_(process);
}

static void *processes_watch_(void *user_data)
{
	rig_t *rig = user_data;
	unsigned int i;

	for (;;) {
		g_mutex_lock(&rig->lock);
		if (rig->is_stopping) {
			g_mutex_unlock(&rig->lock);
			return NULL;
		}
		for (i = 0; i < rig->controls + rig->entries; i++)
			process_check_(rig, &rig->processes[i]);
		g_mutex_unlock(&rig->lock);
		rig_sleep_ms(WATCH_INTERVAL_MS);
	}
}

/* Starts all processes; FALSE: one can't be started. */
gboolean rig_start(rig_t *rig)
{
	unsigned int i;

	for (i = 0; i < rig->controls + rig->entries; i++) {
		if (access(rig->processes[i].program, X_OK) != 0) {
			fprintf(stderr, "%s is not built\n",
				rig->processes[i].program);
			return FALSE;
		}
		if (!process_start_(&rig->processes[i]))
			return FALSE;
	}
	rig->watcher = g_thread_new("watch", processes_watch_, rig);
	return TRUE;
}

/* Ends a process that this one has started. */
static void process_stop_(process_t *process)
{
	int64_t end_ms = rig_now_ms() + STOP_MAX_MS;

	if (process->pid <= 0)
		return;
	while (waitpid(process->pid, NULL, WNOHANG) == 0) {
		if (rig_now_ms() >= end_ms)
			(void)kill(process->pid, SIGKILL);
		rig_sleep_ms(WATCH_INTERVAL_MS);
	}
	process->pid = 0;
}

static void folder_remove_(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *child = g_build_filename(path, name, NULL);

		if (g_file_test(child, G_FILE_TEST_IS_DIR))
			folder_remove_(child);
		else
			(void)g_unlink(child);
		g_free(child);
	}
	if (dir)
		g_dir_close(dir);
	(void)g_rmdir(path);
}

/*
 * Ends all processes that the deployment has started and removes their files,
 * unless KEEP is set.  Stand-ins still run until this process ends.
 */
void rig_delete(rig_t *rig)
{
	unsigned int i;

	g_mutex_lock(&rig->lock);
	rig->is_stopping = TRUE;
	g_mutex_unlock(&rig->lock);
	if (rig->watcher)
		g_thread_join(rig->watcher);
	for (i = 0; i < rig->controls + rig->entries; i++)
		if (rig->processes[i].pid > 0) {
			(void)kill(rig->processes[i].pid, SIGCONT);
			(void)kill(rig->processes[i].pid, SIGTERM);
		}
	rig_sleep_ms(STOP_MAX_MS / 4);
	for (i = 0; i < rig->controls + rig->entries; i++)
		if (rig->processes[i].pid > 0)
			(void)kill(rig->processes[i].pid, SIGKILL);
	for (i = 0; i < rig->controls + rig->entries; i++)
		process_stop_(&rig->processes[i]);
	g_mutex_lock(&rig->lock);
	(void)fflush(rig->record);
	g_mutex_unlock(&rig->lock);
	if (g_getenv("KEEP"))
		printf("files kept in %s\n", rig->folder);
	else
		folder_remove_(rig->folder);
}

unsigned int rig_control_count(const rig_t *rig)
{
	return rig->controls;
}

unsigned int rig_entry_count(const rig_t *rig)
{
	return rig->entries;
}

const char *rig_control(const rig_t *rig, unsigned int number)
{
	return rig->control_addresses[number];
}

const char *rig_entry(const rig_t *rig, unsigned int number)
{
	return rig->entry_addresses[number];
}

static unsigned int ends_read_(rig_t *rig, unsigned int index)
{
	unsigned int ends;

	g_mutex_lock(&rig->lock);
	ends = rig->processes[index].ends;
	g_mutex_unlock(&rig->lock);
	return ends;
}

/* Returns how often a control instance has ended by itself. */
unsigned int rig_control_ends(rig_t *rig, unsigned int number)
{
	return ends_read_(rig, number);
}

/* Returns how often an entry instance has ended by itself. */
unsigned int rig_entry_ends(rig_t *rig, unsigned int number)
{
	return ends_read_(rig, rig->controls + number);
}

/* Sets for how long a call on a socket may wait. */
static void timeout_set_(int fd, int64_t timeout_ms)
{
	const struct timeval time = { timeout_ms / MS_PER_S,
				      timeout_ms % MS_PER_S * US_PER_MS };
	int yes = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

gboolean rig_send(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return FALSE;
		data += sent;
		size -= (size_t)sent;
	}
	return TRUE;
}

gboolean rig_send_text(int fd, const char *text)
{
	return rig_send(fd, text, strlen(text));
}

/* Returns a header's value, to be freed; NULL: there is none. */
char *rig_header(const char *head, const char *name)
{
	char *pattern = g_strdup_printf("\r\n%s:", name);
	const char *found = strcasestr(head, pattern);
	char *value = NULL;

	if (found) {
		found += strlen(pattern);
		value = g_strstrip(g_strndup(found, strcspn(found, "\r")));
	}
	g_free(pattern);
	return value;
}

/* Reads into `data` until it holds `size` bytes; FALSE: the peer has ended. */
static gboolean data_read_until_(int fd, GString *data, size_t size)
{
	char buffer[16384];

	while (data->len < size) {
		ssize_t got = recv(fd, buffer, sizeof(buffer), 0);

		if (got <= 0)
			return FALSE;
		g_string_append_len(data, buffer, got);
	}
	return TRUE;
}

/* Takes a head off `data`, reading as needed; NULL: the peer has ended. */
static char *head_read_(int fd, GString *data)
{
	char *end;
	char *head;
	size_t size;

	while (!(end = strstr(data->str, "\r\n\r\n")))
		if (!data_read_until_(fd, data, data->len + 1))
			return NULL;
	size = (size_t)(end - data->str) + 4;
	head = g_strndup(data->str, size);
	g_string_erase(data, 0, (gssize)size);
	return head;
}

/* Reads a chunked body; FALSE: it is not whole. */
static gboolean chunks_read_(int fd, GString *data, GString *body)
{
	for (;;) {
		char *end;
		size_t line_size;
		size_t size;

		while (!(end = strstr(data->str, "\r\n")))
			if (!data_read_until_(fd, data, data->len + 1))
				return FALSE;
		size = strtoul(data->str, NULL, 16);
		line_size = (size_t)(end - data->str) + 2;
		if (!data_read_until_(fd, data, line_size + size + 2))
			return FALSE;
		g_string_append_len(body, data->str + line_size, (gssize)size);
		g_string_erase(data, 0, (gssize)(line_size + size + 2));
		if (!size)
			return TRUE;
	}
}

/* Reads a body of known framing; FALSE: it is not whole. */
static gboolean body_read_(int fd, const char *head, GString *data,
			   GString *body)
{
	char *encoding = rig_header(head, "Transfer-Encoding");
	char *length = rig_header(head, "Content-Length");
	size_t size = length ? strtoul(length, NULL, 10) : 0;
	gboolean is_whole;

	if (encoding) {
		is_whole = chunks_read_(fd, data, body);
	} else {
		is_whole = data_read_until_(fd, data, size);
		size = MIN(size, data->len);
		g_string_append_len(body, data->str, (gssize)size);
		g_string_erase(data, 0, (gssize)size);
	}
	g_free(encoding);
	g_free(length);
	return is_whole;
}

/* Returns a connection to "IP:PORT", or -1. */
static int connect_to_(const char *text, int64_t timeout_ms)
{
	struct sockaddr_in address = address_parse_(text);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	timeout_set_(fd, timeout_ms);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Sends a request on a new connection and reads its answer.  Returns whether a
 * whole answer came; `answer` must be cleared in any case.
 */
gboolean rig_exchange(const char *address, const char *text, int64_t timeout_ms,
		      rig_answer_t *answer)
{
	GString *data = g_string_new(NULL);
	int fd = connect_to_(address, timeout_ms);
	char *head = NULL;

	*answer = (rig_answer_t){ .head = g_string_new(NULL),
				  .body = g_string_new(NULL) };
	if (fd >= 0 && rig_send_text(fd, text))
		head = head_read_(fd, data);
	if (head && strlen(head) > 12) {
		answer->status = (unsigned int)strtoul(head + 9, NULL, 10);
		g_string_assign(answer->head, head);
		answer->is_whole = body_read_(fd, head, data, answer->body);
	}
	if (fd >= 0)
		close(fd);
	g_free(head);
	g_string_free(data, TRUE);
	return answer->is_whole;
}

void rig_answer_clear(rig_answer_t *answer)
{
	g_string_free(answer->head, TRUE);
	g_string_free(answer->body, TRUE);
}

/* Returns a request's ID, to be freed. */
char *rig_random_id(void)
{
	return g_strdup_printf("%08x%08x", g_random_int(), g_random_int());
}

/* Posts JSON text; returns the status, 0: no answer. */
static unsigned int json_post_(const char *address, const char *path,
			       const char *text, int64_t timeout_ms)
{
	char *request = g_strdup_printf("POST %s HTTP/1.1\r\nHost: %s\r\n"
					"Content-Type: application/json\r\n"
					"Content-Length: %zu\r\n\r\n%s",
					path, address, strlen(text), text);
	rig_answer_t answer;
	unsigned int status = 0;

	if (rig_exchange(address, request, timeout_ms, &answer))
		status = answer.status;
	rig_answer_clear(&answer);
	g_free(request);
	return status;
}

/* Sends a config once; returns the status, 0: no answer. */
unsigned int rig_config_put(rig_t *rig, unsigned int control, const char *text)
{
	return json_post_(rig_control(rig, control), "/v1/config/put", text,
			  CALL_TIMEOUT_MS);
}

/* Sends a config until it is acknowledged, to all control instances in turn. */
gboolean rig_config_put_until(rig_t *rig, const char *text)
{
	int64_t end_ms = rig_now_ms() + RIG_START_MAX_MS;
	unsigned int i;

	for (i = 0; rig_now_ms() < end_ms; i++) {
		unsigned int status =
			rig_config_put(rig, i % rig->controls, text);

		if (status == 200)
			return TRUE;
		rig_sleep_ms(200);
	}
	return FALSE;
}

static void request_clear_(rig_request_t *request)
{
	g_clear_pointer(&request->head, g_free);
	g_clear_pointer(&request->method, g_free);
	g_clear_pointer(&request->target, g_free);
}

/* Splits the request line. */
static gboolean request_parse_(rig_request_t *request)
{
	char **words = g_strsplit_set(request->head, " \r", 4);
	gboolean is_valid = g_strv_length(words) == 4;

	if (is_valid) {
		request->method = g_strdup(words[0]);
		request->target = g_strdup(words[1]);
	}
	g_strfreev(words);
	return is_valid;
}

/* One accepted connection of a stand-in. */
typedef struct accepted {
	rig_server_t *server;
	int fd;
} accepted_t;

static void *connection_serve_(void *user_data)
{
	accepted_t *accepted = user_data;
	rig_request_t request = { .fd = accepted->fd };
	GString *data = g_string_new(NULL);
	gboolean is_kept = TRUE;

	request.body = g_string_new(NULL);
	while (is_kept && (request.head = head_read_(request.fd, data))) {
		g_string_truncate(request.body, 0);
		is_kept = request_parse_(&request) &&
			  body_read_(request.fd, request.head, data,
				     request.body) &&
			  accepted->server->handle(accepted->server, &request);
		request_clear_(&request);
	}
	close(request.fd);
	if (request.kept)
		g_string_free(request.kept, TRUE);
	g_string_free(request.body, TRUE);
	g_string_free(data, TRUE);
	g_free(accepted);
	return NULL;
}

static void *connections_accept_(void *user_data)
{
	rig_server_t *server = user_data;

	for (;;) {
		int fd = accept4(server->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		accepted_t *accepted;
		int yes = 1;

		if (fd < 0)
			continue;
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes,
				 sizeof(yes));
		accepted = g_new0(accepted_t, 1);
		accepted->server = server;
		accepted->fd = fd;
		g_thread_unref(
			g_thread_new("serve", connection_serve_, accepted));
	}
	return NULL;
}

/* Sends heartbeats to a control instance, or to the next if that fails. */
static void *heartbeats_send_(void *user_data)
{
	rig_server_t *server = user_data;
	rig_t *rig = server->rig;
	unsigned int control = server->number % rig->controls;
	char *path = g_strdup_printf("/v1/instances/%s/heartbeat", server->id);

	for (;;) {
		char *more = server->beat ? server->beat(server) : g_strdup("");
		char *text = g_strdup_printf(
			"{\"service\":\"%s\",\"address\":\"%s\","
			"\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%u,"
			"\"state\":\"ready\",\"coldRemainingMs\":0,"
			"\"born\":%" G_GINT64_FORMAT ",%s"
			"\"sequence\":%" G_GUINT64_FORMAT "}",
			server->service, server->address, server->zone,
			server->slots, server->born_wall_ms, more,
			++server->sequence);
		unsigned int tries = 0;

		while (tries++ < rig->controls &&
		       json_post_(rig_control(rig, control), path, text,
				  HEARTBEAT_TIMEOUT_MS) != 200)
			control = (control + 1) % rig->controls;
		g_free(text);
		g_free(more);
		rig_sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

/*
 * Starts a stand-in of a backend server, which runs until this process ends.
 * Returns NULL if its address can't be used.
 */
rig_server_t *rig_server_start(rig_t *rig, unsigned int number,
			       const char *service, unsigned int slots,
			       rig_handler_fn_t handle, rig_beat_fn_t beat,
			       void *user_data)
{
	rig_server_t *server = g_new0(rig_server_t, 1);

	server->rig = rig;
	server->number = number;
	server->id = g_strdup_printf("i-%08x", g_random_int());
	server->address = g_strdup_printf("127.0.0.%u:%u", SERVER_IP + number,
					  free_port_());
	server->zone = g_strdup_printf("z%u", number % ZONES);
	server->service = service;
	server->slots = slots;
	server->born_wall_ms = g_get_real_time() / US_PER_MS;
	server->handle = handle;
	server->beat = beat;
	server->user_data = user_data;
	server->listen_fd = listen_at_(server->address);
	if (server->listen_fd < 0) {
		g_free(server->id);
		g_free(server->address);
		g_free(server->zone);
		g_free(server);
		return NULL;
	}
	g_thread_unref(g_thread_new("accept", connections_accept_, server));
	g_thread_unref(g_thread_new("beat", heartbeats_send_, server));
	return server;
}
