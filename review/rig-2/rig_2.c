#include "rig_2.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PATH_MAX_BYTES 512
#define ID_MAX_BYTES 64
#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define HEARTBEAT_MS 500
#define START_TIMEOUT_MS 20000
#define CALL_TIMEOUT_MS 1000
#define STOP_TIMEOUT_MS 3000
#define POLL_MS 20
/* The part of a log line that tells its time. */
#define TIME_BYTES 34
#define PORT_MIN 20000
#define PORT_MAX 32000
#define PORT_RANGE 10000
#define PORT_STEP 20
#define FIRST_CONTROL_IP 1
#define FIRST_ENTRY_IP 11
#define FIRST_SERVER_IP 101

/* A process of the deployment. */
typedef struct process {
	char name[ID_MAX_BYTES];
	char ip[RIG_ADDRESS_MAX];
	char address[RIG_ADDRESS_MAX * 2]; /* that the case calls */
	pid_t pid;
} process_t;

/* Ports are the same on all machines. */
static struct ports {
	int front;
	int ready;
	int directory;
	int control;
	int internal;
	int peer;
	int metrics;
	int server;
} ports;

pthread_mutex_t rig_lock = PTHREAD_MUTEX_INITIALIZER;

static process_t controls[RIG_CONTROLS];
static process_t entries[RIG_ENTRIES_MAX];
static unsigned int entry_count;
static unsigned int network; /* third byte of all addresses */
static char folder[PATH_MAX_BYTES];
static FILE *record_file;
static int64_t start_ms;
static int cut_entry = -1; /* guarded by rig_lock */

static int64_t clock_read_ms_(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t rig_now_ms(void)
{
	if (!start_ms)
		start_ms = clock_read_ms_(CLOCK_MONOTONIC);
	return clock_read_ms_(CLOCK_MONOTONIC) - start_ms;
}

int64_t rig_wall_ms(void)
{
	return clock_read_ms_(CLOCK_REALTIME);
}

void rig_sleep_ms(int64_t ms)
{
	struct timespec time = { .tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000 };

	nanosleep(&time, NULL);
}

bool rig_has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

void rig_record(const char *format, ...)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	int64_t now_ms = rig_now_ms();
	va_list arguments;

	pthread_mutex_lock(&lock);
	if (!record_file) {
		const char *path = getenv("CASE_RECORD");

		record_file = fopen(path ? path : "record.txt", "w");
	}
	if (record_file) {
		fprintf(record_file, "%7.3f ", (double)now_ms / 1000);
		va_start(arguments, format);
		vfprintf(record_file, format, arguments);
		va_end(arguments);
		fputc('\n', record_file);
		fflush(record_file);
	}
	pthread_mutex_unlock(&lock);
}

static void process_end_(const process_t *process)
{
	int64_t until_ms = rig_now_ms() + STOP_TIMEOUT_MS;

	if (process->pid <= 0)
		return;
	kill(process->pid, SIGCONT);
	kill(process->pid, SIGKILL);
	while (waitpid(process->pid, NULL, WNOHANG) == 0 &&
	       rig_now_ms() < until_ms)
		rig_sleep_ms(POLL_MS);
}

void rig_end(int code)
{
	unsigned int i;

	for (i = 0; i < entry_count; i++)
		process_end_(&entries[i]);
	for (i = 0; i < RIG_CONTROLS; i++)
		process_end_(&controls[i]);
	rig_record("the case ends with %d", code);
	_exit(code);
}

static void run_fail_(const char *reason)
{
	rig_record("the case could not run: %s", reason);
	rig_end(2);
}

static bool address_parse_(const char *text, struct sockaddr_in *address)
{
	char ip[RIG_ADDRESS_MAX];
	const char *colon = strchr(text, ':');

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	*address = (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10)),
	};
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

static int listen_at_(const char *address)
{
	struct sockaddr_in parsed;
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || !address_parse_(address, &parsed))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&parsed, sizeof(parsed)) ||
	    listen(fd, SOMAXCONN)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns whether no program listens at a port, at any address. */
static bool port_is_free_(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_free;

	address.sin_addr.s_addr = htonl(INADDR_ANY);
	is_free = fd >= 0 &&
		  !bind(fd, (struct sockaddr *)&address, sizeof(address));
	if (fd >= 0)
		close(fd);
	return is_free;
}

/* Returns the next free port, below those of outgoing connections. */
static int port_find_(void)
{
	static int next;

	if (!next)
		next = PORT_MIN + getpid() * PORT_STEP % PORT_RANGE;
	while (next < PORT_MAX)
		if (port_is_free_(++next))
			return next;
	run_fail_("there is no free port");
	return 0;
}

static void ports_find_(void)
{
	ports.front = port_find_();
	ports.ready = port_find_();
	ports.directory = port_find_();
	ports.control = port_find_();
	ports.internal = port_find_();
	ports.peer = port_find_();
	ports.metrics = port_find_();
	ports.server = port_find_();
}

static void settings_write_(const process_t *process, const char *path,
			    bool is_control)
{
	FILE *file = fopen(path, "w");
	unsigned int i;

	if (!file)
		run_fail_("a settings file can't be written");
	fprintf(file,
		"{\"name\":\"%s\",\"data_centre\":\"toledo\",\"ip\":\"%s\",",
		process->name, process->ip);
	if (is_control)
		fprintf(file,
			"\"data_folder\":\"%s/data-%s\","
			"\"listen_control\":\"%s:%d\",",
			folder, process->name, process->ip, ports.control);
	else
		fprintf(file,
			"\"listen_front\":\"%s:%d\",\"listen_ready\":\"%s:%d\","
			"\"listen_addresses\":\"%s:%d\",",
			process->ip, ports.front, process->ip, ports.ready,
			process->ip, ports.directory);
	fprintf(file, "\"seeds\":[");
	for (i = 0; i < RIG_CONTROLS; i++)
		fprintf(file, "%s\"%s:%d\"", i ? "," : "", controls[i].ip,
			ports.control);
	fprintf(file,
		"],\"internal_port\":%d,\"peer_port\":%d,\"metrics_port\":%d,"
		"\"first_start\":true,\"heartbeat_ms\":%d,"
		"\"retry_window_s\":10,\"retry_ratio\":0.2,"
		"\"retry_extra\":450,\"grace_s\":8,\"memory_mb\":182,"
		"\"address_ttl_s\":2}\n",
		ports.internal, ports.peer, ports.metrics, HEARTBEAT_MS);
	fclose(file);
}

/* Runs a program of the deploy file in the child process. */
static void program_run_(const char *program, const char *settings,
			 const char *log)
{
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	/* The program doesn't outlive the case, however that ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setenv("CURRANTBRIDGE_NODE_FILE", settings, 1);
	execl(program, program, (char *)NULL);
	_exit(127);
}

static void process_start_(process_t *process, bool is_control)
{
	const char *root = getenv("CASE_ROOT");
	char program[PATH_MAX_BYTES];
	char settings[PATH_MAX_BYTES * 2];
	char log[PATH_MAX_BYTES * 2];

	snprintf(program, sizeof(program), "%s/target/cb-platform-%s",
		 root ? root : ".", is_control ? "control" : "entry");
	snprintf(settings, sizeof(settings), "%s/%s.json", folder,
		 process->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, process->name);
	if (access(program, X_OK))
		run_fail_("the build of the deploy file is missing");
	settings_write_(process, settings, is_control);
	process->pid = fork();
	if (!process->pid)
		program_run_(program, settings, log);
	if (process->pid < 0)
		run_fail_("a process can't be started");
	rig_record("%s is process %d at %s", process->name, (int)process->pid,
		   process->ip);
}

static void process_describe_(process_t *process, const char *role,
			      unsigned int number, unsigned int last_byte,
			      int port)
{
	snprintf(process->name, sizeof(process->name), "%s-%u", role, number);
	snprintf(process->ip, sizeof(process->ip), "127.0.%u.%u", network,
		 last_byte);
	snprintf(process->address, sizeof(process->address), "%s:%d",
		 process->ip, port);
}

void rig_start(unsigned int entries_wanted)
{
	const char *base = getenv("TMPDIR");
	unsigned int i;

	signal(SIGPIPE, SIG_IGN);
	(void)rig_now_ms();
	network = 10 + (unsigned int)getpid() % 200;
	snprintf(folder, sizeof(folder), "%s/case-XXXXXX",
		 base ? base : "/tmp");
	if (!mkdtemp(folder))
		run_fail_("there is no temporary folder");
	ports_find_();
	entry_count = entries_wanted;
	for (i = 0; i < RIG_CONTROLS; i++)
		process_describe_(&controls[i], "control", i + 1,
				  FIRST_CONTROL_IP + i, ports.control);
	for (i = 0; i < entry_count; i++)
		process_describe_(&entries[i], "entry", i + 1,
				  FIRST_ENTRY_IP + i, ports.front);
	for (i = 0; i < RIG_CONTROLS; i++)
		process_start_(&controls[i], true);
	for (i = 0; i < entry_count; i++)
		process_start_(&entries[i], false);
}

void rig_signal_control(unsigned int control, int signal_number)
{
	rig_record("%s gets signal %d", controls[control].name, signal_number);
	kill(controls[control].pid, signal_number);
}

/* Opens a control's log. */
static FILE *log_open_(unsigned int control)
{
	char path[PATH_MAX_BYTES * 2];

	snprintf(path, sizeof(path), "%s/%s.log", folder,
		 controls[control].name);
	return fopen(path, "r");
}

/*
 * Finds the last line of any control's log that holds both texts.  Returns the
 * control, -1 if there is none.
 */
static int log_line_find_(const char *text, const char *other)
{
	char latest[ID_MAX_BYTES] = "";
	char line[RIG_HEAD_MAX];
	unsigned int i;
	int found = -1;

	for (i = 0; i < RIG_CONTROLS; i++) {
		FILE *file = log_open_(i);

		while (file && fgets(line, sizeof(line), file))
			/* A line begins with its time, which sorts as text. */
			if (strstr(line, text) && strstr(line, other) &&
			    strncmp(line, latest, TIME_BYTES) >= 0) {
				snprintf(latest, sizeof(latest), "%.*s",
					 TIME_BYTES, line);
				found = (int)i;
			}
		if (file)
			fclose(file);
	}
	return found;
}

int rig_find_leader(void)
{
	return log_line_find_("\"ROLE_CHANGED\"", "\"role\":\"leader\"");
}

int rig_find_session(unsigned int entry)
{
	char name[ID_MAX_BYTES * 2];

	snprintf(name, sizeof(name), "\"name\":\"%s\"", entries[entry].name);
	return log_line_find_("\"SESSION_OPENED\"", name);
}

const char *rig_entry_address(unsigned int entry)
{
	return entries[entry % entry_count].address;
}

const char *rig_control_address(unsigned int control)
{
	return controls[control % RIG_CONTROLS].address;
}

/* Waits until an entry is ready. */
static void entry_await_(const process_t *entry, int64_t until_ms)
{
	char address[RIG_ADDRESS_MAX * 2];

	snprintf(address, sizeof(address), "%s:%d", entry->ip, ports.ready);
	while (rig_call(address, "GET", "/v1/ready", "", CALL_TIMEOUT_MS) !=
	       200) {
		if (rig_now_ms() > until_ms)
			run_fail_("an entry is not ready");
		rig_sleep_ms(100);
	}
}

void rig_put_config(const char *text)
{
	int64_t until_ms = rig_now_ms() + START_TIMEOUT_MS;
	unsigned int control = 0;

	while (rig_call(rig_control_address(control++), "POST",
			"/v1/config/put", text, CALL_TIMEOUT_MS) != 200) {
		if (rig_now_ms() > until_ms)
			run_fail_("the configuration is not acknowledged");
		rig_sleep_ms(100);
	}
	rig_record("the configuration is acknowledged");
	for (control = 0; control < entry_count; control++)
		entry_await_(&entries[control], until_ms);
}

int rig_connect(const char *address, int timeout_ms)
{
	const struct timeval timeout = { .tv_sec = timeout_ms / 1000,
					 .tv_usec = timeout_ms % 1000 * 1000 };
	struct sockaddr_in parsed;
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (address_parse_(address, &parsed) &&
	    !connect(fd, (struct sockaddr *)&parsed, sizeof(parsed)))
		return fd;
	close(fd);
	return -1;
}

bool rig_send(int fd, const void *data, size_t size)
{
	const char *next = data;

	while (size) {
		ssize_t sent = send(fd, next, size, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		next += sent;
		size -= (size_t)sent;
	}
	return true;
}

bool rig_send_text(int fd, const char *format, ...)
{
	char text[RIG_HEAD_MAX];
	va_list arguments;
	int size;

	va_start(arguments, format);
	size = vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	return size >= 0 && (size_t)size < sizeof(text) &&
	       rig_send(fd, text, (size_t)size);
}

/* Reads the head byte by byte, so that nothing behind it is lost. */
static bool head_read_(int fd, rig_message_t *message)
{
	size_t size = 0;

	while (size + 1 < sizeof(message->head)) {
		ssize_t received = recv(fd, message->head + size, 1, 0);

		if (received < 0 && errno == EINTR)
			continue;
		if (received <= 0)
			return false;
		message->head[++size] = '\0';
		if (size >= 4 &&
		    !memcmp(message->head + size - 4, "\r\n\r\n", 4))
			return true;
	}
	return false;
}

static bool body_read_(int fd, rig_message_t *message, size_t size)
{
	if (!size)
		return true;
	if (size > BODY_MAX_BYTES)
		return false;
	message->body = malloc(size + 1);
	if (!message->body)
		return false;
	while (message->body_size < size) {
		ssize_t received = recv(fd, message->body + message->body_size,
					size - message->body_size, 0);

		if (received < 0 && errno == EINTR)
			continue;
		if (received <= 0)
			return false;
		message->body_size += (size_t)received;
	}
	message->body[size] = '\0';
	return true;
}

bool rig_read_message(int fd, rig_message_t *message)
{
	char length[ID_MAX_BYTES];

	message->head[0] = '\0';
	message->body = NULL;
	message->body_size = 0;
	if (!head_read_(fd, message))
		return false;
	if (!rig_header(message, "Content-Length", length, sizeof(length)))
		return true;
	return body_read_(fd, message, strtoul(length, NULL, 10));
}

void rig_message_clear(rig_message_t *message)
{
	free(message->body);
	message->body = NULL;
	message->body_size = 0;
}

bool rig_header(const rig_message_t *message, const char *name, char *value,
		size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t name_size = strlen(name);

	while (line && line[2] && line[2] != '\r') {
		line += 2;
		if (!strncasecmp(line, name, name_size) &&
		    line[name_size] == ':') {
			const char *start = line + name_size + 1;

			start += strspn(start, " ");
			snprintf(value, size, "%.*s", (int)strcspn(start, "\r"),
				 start);
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

int rig_status(const rig_message_t *message)
{
	return strncmp(message->head, "HTTP/1.", 7) ?
		       0 :
		       (int)strtol(message->head + 9, NULL, 10);
}

int rig_call(const char *address, const char *method, const char *path,
	     const char *body, int timeout_ms)
{
	int fd = rig_connect(address, timeout_ms);
	rig_message_t answer = { .body = NULL };
	int status = 0;

	if (fd < 0)
		return 0;
	if (rig_send_text(fd,
			  "%s %s HTTP/1.1\r\nHost: control\r\n"
			  "Content-Type: application/json\r\n"
			  "Content-Length: %zu\r\n\r\n",
			  method, path, strlen(body)) &&
	    rig_send(fd, body, strlen(body)) && rig_read_message(fd, &answer))
		status = rig_status(&answer);
	rig_message_clear(&answer);
	close(fd);
	return status;
}

void rig_server_id(const rig_server_t *server, char *id, size_t size)
{
	snprintf(id, size, "i-%s-%u", server->name, server->life);
}

bool rig_connection_is_current(const rig_connection_t *connection)
{
	bool is_current;

	pthread_mutex_lock(&rig_lock);
	is_current = connection->server->is_up &&
		     connection->server->life == connection->life;
	pthread_mutex_unlock(&rig_lock);
	return is_current;
}

void rig_cut_entry(int entry)
{
	pthread_mutex_lock(&rig_lock);
	cut_entry = entry;
	pthread_mutex_unlock(&rig_lock);
	if (entry >= 0)
		rig_record("some servers are cut off from %s",
			   entries[entry].name);
}

static bool connection_is_cut_(const rig_connection_t *connection)
{
	bool is_cut;

	pthread_mutex_lock(&rig_lock);
	is_cut = connection->server->is_cut && connection->entry >= 0 &&
		 connection->entry == cut_entry;
	pthread_mutex_unlock(&rig_lock);
	return is_cut;
}

/* Returns the inode of the other end of a connection on this machine; 0: none. */
static unsigned long peer_inode_find_(int fd)
{
	struct sockaddr_in peer = { .sin_family = AF_INET };
	socklen_t size = sizeof(peer);
	FILE *file = fopen("/proc/net/tcp", "r");
	unsigned long found = 0;
	char line[512];

	if (file && !getpeername(fd, (struct sockaddr *)&peer, &size))
		while (!found && fgets(line, sizeof(line), file)) {
			unsigned int port;
			unsigned int ip;
			unsigned long inode;

			if (sscanf(line,
				   " %*u: %8X:%4X %*s %*s %*s %*s %*s %*s %*s "
				   "%lu",
				   &ip, &port, &inode) == 3 &&
			    ip == peer.sin_addr.s_addr &&
			    port == ntohs(peer.sin_port))
				found = inode;
		}
	if (file)
		fclose(file);
	return found;
}

/* Whether a process that the case has started holds a socket. */
static bool process_has_socket_(const process_t *process, unsigned long inode)
{
	char path[PATH_MAX_BYTES];
	char wanted[ID_MAX_BYTES];
	bool is_found = false;
	struct dirent *item;
	DIR *directory;

	snprintf(wanted, sizeof(wanted), "socket:[%lu]", inode);
	snprintf(path, sizeof(path), "/proc/%d/fd", (int)process->pid);
	directory = opendir(path);
	while (directory && !is_found && (item = readdir(directory))) {
		char name[PATH_MAX_BYTES * 2];
		char target[ID_MAX_BYTES] = "";

		snprintf(name, sizeof(name), "%s/%s", path, item->d_name);
		if (readlink(name, target, sizeof(target) - 1) > 0)
			is_found = !strcmp(target, wanted);
	}
	if (directory)
		closedir(directory);
	return is_found;
}

/* Returns the entry that has made a connection; -1: another program. */
static int entry_find_(int fd)
{
	unsigned long inode = peer_inode_find_(fd);
	unsigned int i;

	for (i = 0; inode && i < entry_count; i++)
		if (process_has_socket_(&entries[i], inode))
			return (int)i;
	return -1;
}

/* Waits for the next request; false if the connection or the process ends. */
static bool request_await_(const rig_connection_t *connection)
{
	const struct timeval timeout = { .tv_usec = POLL_MS * 1000 };
	char byte;

	setsockopt(connection->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		   sizeof(timeout));
	for (;;) {
		ssize_t received = recv(connection->fd, &byte, 1, MSG_PEEK);

		if (!rig_connection_is_current(connection) || received == 0 ||
		    connection_is_cut_(connection))
			return false;
		if (received > 0)
			break;
		if (errno != EAGAIN && errno != EINTR)
			return false;
	}
	setsockopt(connection->fd, SOL_SOCKET, SO_RCVTIMEO,
		   &(struct timeval){ .tv_sec = 5 }, sizeof(struct timeval));
	return true;
}

static bool server_is_dark_(const rig_server_t *server)
{
	bool is_dark;

	pthread_mutex_lock(&rig_lock);
	is_dark = server->is_dark;
	pthread_mutex_unlock(&rig_lock);
	return is_dark;
}

static void *connection_run_(void *data)
{
	rig_connection_t *connection = data;
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	bool is_open = true;

	while (is_open && request_await_(connection)) {
		rig_message_t request;

		is_open = rig_read_message(connection->fd, &request) &&
			  connection->server->serve(connection, &request);
		rig_message_clear(&request);
	}
	while (server_is_dark_(connection->server))
		rig_sleep_ms(POLL_MS);
	/* The connections of a process that has ended are reset, and cut ones. */
	if (!rig_connection_is_current(connection) ||
	    connection_is_cut_(connection))
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(connection->fd);
	free(connection);
	return NULL;
}

static void thread_start_(void *(*run)(void *), void *data)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, data))
		run_fail_("a thread can't be started");
	pthread_detach(thread);
}

static void *server_accept_(void *data)
{
	rig_server_t *server = data;
	int on = 1;

	for (;;) {
		rig_connection_t *connection;
		int listener;
		int fd;

		pthread_mutex_lock(&rig_lock);
		listener = server->is_up ? server->listener : -1;
		pthread_mutex_unlock(&rig_lock);
		fd = listener < 0 ? -1 : accept(listener, NULL, NULL);
		if (fd < 0) {
			rig_sleep_ms(POLL_MS);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = calloc(1, sizeof(*connection));
		if (!connection)
			run_fail_("there is no memory");
		connection->server = server;
		connection->fd = fd;
		connection->entry = entry_find_(fd);
		pthread_mutex_lock(&rig_lock);
		connection->life = server->life;
		pthread_mutex_unlock(&rig_lock);
		thread_start_(connection_run_, connection);
	}
	return NULL;
}

/* Writes the heartbeat of a server that runs; false if it does not. */
static bool heartbeat_write_(rig_server_t *server, char *path, size_t path_size,
			     char *body, size_t body_size)
{
	char layers[ID_MAX_BYTES * 2] = "";
	char id[ID_MAX_BYTES];
	bool is_up;

	pthread_mutex_lock(&rig_lock);
	is_up = server->is_up;
	rig_server_id(server, id, sizeof(id));
	if (server->kind && server->layer_from != server->layer_to)
		snprintf(layers, sizeof(layers),
			 ",\"kind\":\"%s\",\"layers\":{\"from\":%d,\"to\":%d,"
			 "\"version\":1}",
			 server->kind, server->layer_from, server->layer_to);
	else if (server->kind)
		snprintf(layers, sizeof(layers),
			 ",\"kind\":\"%s\",\"layers\":null", server->kind);
	snprintf(path, path_size, "/v1/instances/%s/heartbeat", id);
	snprintf(body, body_size,
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":192,\"state\":\"ready\","
		 "\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[]%s,"
		 "\"born\":%lld,\"sequence\":%lld}",
		 server->service, server->address, server->zone, layers,
		 (long long)server->born_ms, (long long)++server->sequence);
	pthread_mutex_unlock(&rig_lock);
	return is_up;
}

static void *heartbeats_send_(void *data)
{
	rig_server_t *server = data;
	unsigned int control = 0;
	char body[RIG_HEAD_MAX / 8];
	char path[PATH_MAX_BYTES];

	for (;;) {
		if (heartbeat_write_(server, path, sizeof(path), body,
				     sizeof(body)) &&
		    rig_call(rig_control_address(control), "POST", path, body,
			     CALL_TIMEOUT_MS) != 200)
			control++;
		rig_sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

/* Begins the life of another process of a server. */
static void server_life_begin_(rig_server_t *server)
{
	int listener = listen_at_(server->address);

	if (listener < 0)
		run_fail_("a server can't listen");
	pthread_mutex_lock(&rig_lock);
	server->life++;
	server->is_up = true;
	server->listener = listener;
	server->born_ms = rig_wall_ms();
	server->sequence = 0;
	server->layer_from = server->layer_to = 0;
	server->accepted_orders = 0;
	pthread_mutex_unlock(&rig_lock);
	rig_record("server %s starts, life %u, at %s", server->name,
		   server->life, server->address);
}

void rig_server_start(rig_server_t *server, unsigned int number)
{
	snprintf(server->address, sizeof(server->address), "127.0.%u.%u:%d",
		 network, FIRST_SERVER_IP + number, ports.server);
	server->listener = -1;
	server_life_begin_(server);
	thread_start_(server_accept_, server);
	thread_start_(heartbeats_send_, server);
}

void rig_server_crash(rig_server_t *server)
{
	int listener;

	pthread_mutex_lock(&rig_lock);
	listener = server->listener;
	server->listener = -1;
	server->is_up = false;
	pthread_mutex_unlock(&rig_lock);
	if (listener < 0)
		return;
	rig_record("server %s ends", server->name);
	/* Wakes the thread that accepts; the port refuses from now on. */
	shutdown(listener, SHUT_RDWR);
	close(listener);
}

/* Connects to an address without waiting for that. */
static int connect_begin_(const char *address)
{
	struct sockaddr_in parsed;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd >= 0 && address_parse_(address, &parsed))
		(void)connect(fd, (struct sockaddr *)&parsed, sizeof(parsed));
	return fd;
}

void rig_server_vanish(rig_server_t *server)
{
	int listener;
	int i;

	pthread_mutex_lock(&rig_lock);
	server->is_up = false;
	server->is_dark = true;
	listener = server->listener;
	pthread_mutex_unlock(&rig_lock);
	rig_record("server %s vanishes", server->name);
	/* The thread that accepts takes one more, and no other after that. */
	listen(listener, 0);
	for (i = 0; i < RIG_FILLERS; i++)
		server->fillers[i] = connect_begin_(server->address);
}

/* Closes the listener of a dark server; its connections are reset then. */
static void darkness_end_(rig_server_t *server)
{
	int listener;
	int i;

	pthread_mutex_lock(&rig_lock);
	listener = server->is_dark ? server->listener : -1;
	server->is_dark = false;
	pthread_mutex_unlock(&rig_lock);
	if (listener < 0)
		return;
	for (i = 0; i < RIG_FILLERS; i++)
		close(server->fillers[i]);
	shutdown(listener, SHUT_RDWR);
	close(listener);
}

void rig_server_restart(rig_server_t *server)
{
	darkness_end_(server);
	server_life_begin_(server);
}
