#include "support_programs.h"

#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CUnit/CUnit.h>

#include "support_sockets.h"

#define ANSWER_TIMEOUT_MS 5000
#define READ_BUFFER_BYTES 65536
/* Exit code of build-earlier if the history lacks the commit. */
#define COMMIT_ABSENT 77

gboolean support_row_is_chosen(const char *name, gboolean is_short)
{
	const char *names = g_getenv("CB_ROWS");
	char **list;
	gboolean is_chosen;

	if (!names)
		return is_short;
	list = g_strsplit(names, ",", 0);
	is_chosen = g_str_equal(names, "all") ||
		    g_strv_contains((const char *const *)list, name);
	g_strfreev(list);
	return is_chosen;
}

void support_receive_timeout_set(int fd, int64_t timeout_ms)
{
	const struct timeval timeout = {
		.tv_sec = timeout_ms / 1000,
		.tv_usec = timeout_ms % 1000 * 1000,
	};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

int support_address_connect(const char *address)
{
	int fd = support_socket_connect(address);

	if (fd >= 0)
		support_receive_timeout_set(fd, ANSWER_TIMEOUT_MS);
	return fd;
}

/* Returns a head's Content-Length in bytes, 0 if it has none. */
static size_t content_length_read_(const char *head)
{
	const char *header = strcasestr(head, "\r\nContent-Length:");

	return header ? strtoul(header + strlen("\r\nContent-Length:"), NULL,
				10) :
			0;
}

char *support_message_read(int fd)
{
	GString *text = g_string_new(NULL);
	char buffer[READ_BUFFER_BYTES];

	for (;;) {
		const char *end = strstr(text->str, "\r\n\r\n");
		ssize_t size;

		if (end && text->len >= (size_t)(end + 4 - text->str) +
						content_length_read_(text->str))
			return g_string_free(text, FALSE);
		size = recv(fd, buffer, sizeof(buffer), 0);
		if (size <= 0)
			break;
		g_string_append_len(text, buffer, size);
	}
	g_string_free(text, TRUE);
	return NULL;
}

char *support_answer_read(int fd)
{
	char *answer = support_message_read(fd);

	return answer ? answer : g_strdup("");
}

char *support_request_exchange(const char *address, const char *text)
{
	int fd = support_address_connect(address);
	char *answer;

	if (fd < 0)
		return g_strdup("");
	support_socket_send(fd, text, strlen(text));
	answer = support_answer_read(fd);
	close(fd);
	return answer;
}

unsigned int support_answer_status(const char *answer)
{
	return strlen(answer) > 9 ?
		       (unsigned int)strtoul(answer + 9, NULL, 10) :
		       0;
}

char *support_api_call(const char *address, const char *method,
		       const char *path, const char *body)
{
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: c\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     method, path, strlen(body), body);
	char *answer = support_request_exchange(address, text);

	g_free(text);
	return answer;
}

unsigned int support_api_call_status(const char *address, const char *method,
				     const char *path, const char *body)
{
	char *answer = support_api_call(address, method, path, body);
	unsigned int status = support_answer_status(answer);

	g_free(answer);
	return status;
}

GString *support_program_settings(const char *name, const char *ip,
				  int internal_port, const char *seeds,
				  int64_t heartbeat_ms)
{
	GString *settings = g_string_new(NULL);

	g_string_printf(settings,
			"{\"name\":\"%s\",\"data_centre\":\"z\",\"ip\":\"%s\","
			"\"seeds\":[%s],\"internal_port\":%d,"
			"\"peer_port\":%d,"
			"\"metrics_port\":%d,\"heartbeat_ms\":%d",
			name, ip, seeds, internal_port, internal_port,
			(int)support_free_port(), (int)heartbeat_ms);
	return settings;
}

char *support_earlier_build(const char *commit)
{
	char *folder =
		g_strdup_printf("%s/build-earlier/%s", CB_SOURCE_DIR, commit);
	char *command =
		g_strdup_printf("%s/test/platform/upgrades/build-earlier %s %s",
				CB_SOURCE_DIR, commit, folder);
	char *programs = g_build_filename(folder, "build", NULL);
	char *output = NULL;
	int status = 0;

	CU_ASSERT_TRUE(g_spawn_command_line_sync(command, &output, NULL,
						 &status, NULL));
	if (!g_spawn_check_wait_status(status, NULL)) {
		gboolean is_absent = WIFEXITED(status) &&
				     WEXITSTATUS(status) == COMMIT_ABSENT;

		printf("    %s: %s\n", commit,
		       is_absent ?
			       "skipped, the repository's history lacks it" :
			       "can't be built");
		CU_ASSERT_TRUE(is_absent);
		g_clear_pointer(&programs, g_free);
	}
	g_free(output);
	g_free(command);
	g_free(folder);
	return programs;
}

void support_program_set_folder(support_daemon_t *daemon, const char *folder)
{
	char *program = g_path_get_basename(daemon->program);

	g_free(daemon->program);
	daemon->program = g_build_filename(folder, program, NULL);
	g_free(program);
}

support_daemon_t *support_program_start(support_group_t *group,
					const char *program, const char *name,
					GString *settings)
{
	return support_program_start_from(group, NULL, program, name, settings);
}

support_daemon_t *support_program_start_from(support_group_t *group,
					     const char *folder,
					     const char *program,
					     const char *name,
					     GString *settings)
{
	support_daemon_t *daemon;

	g_string_append_c(settings, '}');
	daemon = support_group_add(group, program, name, NULL, settings->str);
	g_string_free(settings, TRUE);
	if (folder)
		support_program_set_folder(daemon, folder);
	daemon->config_variable = "CURRANTBRIDGE_NODE_FILE";
	support_daemon_start(daemon);
	return daemon;
}

char *support_controls_start(support_group_t *group, int count,
			     int internal_port, int64_t heartbeat_ms,
			     support_daemon_t **daemons, char **addresses)
{
	GString *seeds = g_string_new(NULL);
	int i;

	for (i = 0; i < count; i++) {
		addresses[i] = g_strdup_printf("127.0.0.%d:%d", i + 2,
					       (int)support_free_port());
		g_string_append_printf(seeds, "%s\"%s\"", i ? "," : "",
				       addresses[i]);
	}
	for (i = 0; i < count; i++) {
		char *name = g_strdup_printf("c%d", i);
		char *ip = g_strdup_printf("127.0.0.%d", i + 2);
		GString *settings =
			support_program_settings(name, ip, internal_port,
						 seeds->str, heartbeat_ms);

		g_string_append_printf(settings,
				       ",\"first_start\":true,"
				       "\"listen_control\":\"%s\","
				       "\"data_folder\":\"%s/%s\"",
				       addresses[i], group->folder, name);
		daemons[i] = support_program_start(group, "cb-platform-control",
						   name, settings);
		g_free(name);
		g_free(ip);
	}
	return g_string_free(seeds, FALSE);
}
