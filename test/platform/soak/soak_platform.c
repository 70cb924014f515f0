#include "soak_platform.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support_sockets.h"

#define START_TIMEOUT_MS 20000
#define RESTART_DELAY_MAX_MS 800
#define MAX_CONNECTIONS 60
/* Seeds that a successor of a lost control instance is given. */
#define SUCCESSOR_SEEDS 3
/* Priorities of the routes, which change with each version. */
#define RANKS 3

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

static void process_add_(soak_t *soak, support_daemon_t *daemon)
{
	soak->processes[soak->process_count++] = (soak_process_t){
		.daemon = daemon,
		.started_ms = now_ms_(),
	};
}

/* Starts the control instance with a number, which is that of its address. */
static support_daemon_t *control_start_(soak_t *soak, unsigned int control,
					unsigned int number, const char *seeds,
					gboolean is_first_start)
{
	char *name = g_strdup_printf("c%u", number);
	char *ip = g_strdup_printf("127.0.0.%u", number + 2);
	GString *settings =
		support_program_settings(name, ip, soak->internal_port, seeds,
					 soak->setup->heartbeat_ms);
	const char *port = strstr(settings->str, "\"metrics_port\":") +
			   strlen("\"metrics_port\":");
	support_daemon_t *daemon;

	g_free(soak->control_metrics[control]);
	soak->control_metrics[control] =
		g_strdup_printf("%s:%d", ip, atoi(port));
	g_string_append_printf(settings,
			       ",\"first_start\":%s,"
			       "\"listen_control\":\"%s\","
			       "\"data_folder\":\"%s/%s\"",
			       is_first_start ? "true" : "false",
			       soak->control_addresses[control],
			       soak->group->folder, name);
	soak->control_start_count++;
	daemon = support_program_start_from(soak->group, soak->setup->programs,
					    "cb-platform-control", name,
					    settings);
	g_free(name);
	g_free(ip);
	return daemon;
}

/* Writes the addresses of the control instances that are not gone to a file. */
static void control_list_write_(soak_t *soak)
{
	GString *list = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < soak->setup->control_count; i++)
		if (!soak->is_control_gone[i])
			g_string_append_printf(list, "%s%s",
					       list->len ? "," : "",
					       soak->control_addresses[i]);
	g_assert(g_file_set_contents(soak->control_list_path, list->str, -1,
				     NULL));
	g_string_free(list, TRUE);
}

static void entry_start_(soak_t *soak, unsigned int i, int internal_port,
			 const char *seeds)
{
	char *name = g_strdup_printf("e%u", i);
	char *ip = g_strdup_printf("127.0.0.%u", i + 20);
	GString *settings =
		support_program_settings(name, ip, internal_port, seeds,
					 soak->setup->heartbeat_ms);

	soak->entry_addresses[i] =
		g_strdup_printf("%s:%d", ip, (int)support_free_port());
	g_string_append_printf(settings,
			       ",\"grace_s\":%d,\"address_ttl_s\":1,"
			       "\"listen_front\":\"%s\","
			       "\"listen_ready\":\"%s:%d\","
			       "\"listen_addresses\":\"%s:%d\"",
			       soak->setup->grace_s, soak->entry_addresses[i],
			       ip, (int)support_free_port(), ip,
			       (int)support_free_port());
	process_add_(soak, support_program_start_from(soak->group,
						      soak->setup->programs,
						      "cb-platform-entry", name,
						      settings));
	g_free(name);
	g_free(ip);
}

static void server_start_(soak_t *soak, unsigned int i)
{
	const soak_setup_t *setup = soak->setup;
	char *name = g_strdup_printf("server%u", i);
	gboolean is_other = setup->has_other_service && i % 3 == 0;
	GString *settings = g_string_new(NULL);

	g_string_printf(
		settings,
		"{\"address\":\"127.0.0.%u:%d\",\"service\":\"%s\","
		"\"control_list\":\"%s\",\"effects\":\"%s\",\"slots\":%d,"
		"\"heartbeat_ms\":%d,\"event_gap_max_ms\":%d,"
		"\"is_sound\":%s",
		i + 100, (int)support_free_port(), is_other ? "t" : "s",
		soak->control_list_path, soak->effects_path, setup->slots,
		setup->server_heartbeat_ms, setup->event_gap_max_ms,
		setup->is_sound ? "true" : "false");
	process_add_(soak, support_program_start(soak->group, "cb-soak-server",
						 name, settings));
	g_free(name);
}

/* Appends the routes "/version-1/" to that of the document's version. */
static void version_routes_append_(const soak_t *soak, GString *text)
{
	int version;

	for (version = 1; version <= soak->version; version++)
		g_string_append_printf(
			text,
			",{\"name\":\"version-%d\",\"host\":\"h\","
			"\"pathPrefix\":\"/version-%d/\",\"kind\":\"safe\","
			"\"timeoutMs\":2000,\"targetLatencyMs\":500,"
			"\"service\":\"s\",\"maxAttempts\":2,\"priority\":0}",
			version, version);
}

/* Returns the text of the document's next version, to be freed. */
static char *document_write_(const soak_t *soak)
{
	const soak_setup_t *setup = soak->setup;
	int pair = soak->version % 2;
	GString *text = g_string_new(NULL);
	int kind;

	g_string_printf(text, "{\"version\":%d,\"routes\":[", soak->version);
	for (kind = 0; kind < SOAK_KIND_COUNT; kind++) {
		const soak_route_t *route = &soak_routes[kind];

		g_string_append_printf(
			text,
			"%s{\"name\":\"%s\",\"host\":\"h\",\"pathPrefix\":"
			"\"%s\",\"kind\":\"%s\",\"timeoutMs\":%d,"
			"\"targetLatencyMs\":%d,\"targetGapMs\":%d,"
			"\"service\":\"%s\",\"maxAttempts\":2,"
			"\"priority\":%d,\"resumable\":%s}",
			kind ? "," : "", route->prefix, route->prefix,
			route->document_kind, setup->timeout_ms[pair],
			setup->target_latency_ms[pair],
			route->is_stream ? setup->target_gap_ms : 0,
			route->service, (kind + soak->version) % RANKS,
			route->is_stream && route->may_run_again ? "true" :
								   "false");
	}
	if (setup->has_version_routes)
		version_routes_append_(soak, text);
	g_string_append_printf(
		text,
		"],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
		"\"maxConnections\":%d},{\"name\":\"t\",\"healthPath\":"
		"\"/health\",\"maxConnections\":%d}],\"limits\":{"
		"\"maxHeaderBytes\":4096,\"maxBodyBytes\":64,"
		"\"headerTimeoutMs\":300,\"idleTimeoutMs\":2000},"
		"\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"key\"],"
		"\"priority\":%d},{\"name\":\"x\",\"apiKeys\":[\"x\"],"
		"\"priority\":1}]}",
		MAX_CONNECTIONS, MAX_CONNECTIONS, pair * 2);
	return g_string_free(text, FALSE);
}

/* Sends a change of the document; returns the status, 0 if there is none. */
static unsigned int document_send_(const soak_t *soak, const char *address,
				   const char *body)
{
	int fd = support_address_connect(address);
	unsigned int status;
	char *answer;
	char *text;

	if (fd < 0)
		return 0;
	if (soak->setup->document_wait_ms)
		support_receive_timeout_set(fd, soak->setup->document_wait_ms);
	text = g_strdup_printf("POST /v1/config/put HTTP/1.1\r\nHost: c\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       strlen(body), body);
	support_socket_send(fd, text, strlen(text));
	answer = support_answer_read(fd);
	status = support_answer_status(answer);
	close(fd);
	g_free(answer);
	g_free(text);
	return status;
}

gboolean soak_document_put(soak_t *soak)
{
	int count = (int)soak->setup->control_count;
	int control = g_rand_int_range(soak->document_random, 0, count);
	char *body = document_write_(soak);
	unsigned int status;
	char *address;

	if (soak->is_put_to_repeat)
		control = (soak->put_control + 1) % count;
	g_mutex_lock(&soak->controls_lock);
	while (soak->is_control_gone[control])
		control = (control + 1) % count;
	address = g_strdup(soak->control_addresses[control]);
	g_mutex_unlock(&soak->controls_lock);
	status = document_send_(soak, address, body);
	soak->put_control = control;
	soak->is_put_to_repeat = status != 200;
	g_free(address);
	g_free(body);
	if (status == 200)
		soak->version++;
	return status == 200;
}

static gboolean is_document_put_(void *user_data)
{
	return soak_document_put(user_data);
}

/* Sends a request to an entry instance; returns whether it is served. */
static gboolean is_entry_serving_(const soak_t *soak, unsigned int entry)
{
	char *answer = support_request_exchange(
		soak->entry_addresses[entry],
		"GET /safe/start HTTP/1.1\r\nHost: h\r\n"
		"X-Request-Id: start\r\nX-Time-Budget: 1000\r\n"
		"Authorization: Bearer key\r\n\r\n");
	gboolean is_served = support_answer_status(answer) == 200;

	g_free(answer);
	return is_served;
}

/*
 * Returns whether each entry instance has served a request.  Servers lose some
 * answers on purpose, so that many instances seldom serve one each in a row.
 */
static gboolean have_entries_served_(void *user_data)
{
	soak_t *soak = user_data;

	while (soak->serving_count < soak->setup->entry_count &&
	       is_entry_serving_(soak, soak->serving_count))
		soak->serving_count++;
	return soak->serving_count == soak->setup->entry_count;
}

/* Draws the addresses of the control instances; returns them as JSON. */
static GString *control_addresses_draw_(soak_t *soak)
{
	GString *seeds = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < soak->setup->control_count; i++) {
		soak->control_addresses[i] =
			g_strdup_printf("127.0.0.%u:%d", i + 2,
					(int)support_free_port());
		if (soak->setup->seed_count && i >= soak->setup->seed_count)
			continue;
		g_string_append_printf(seeds, "%s\"%s\"", i ? "," : "",
				       soak->control_addresses[i]);
	}
	return seeds;
}

gboolean soak_init(soak_t *soak, const soak_setup_t *setup, uint32_t seed)
{
	GString *seeds;
	gboolean is_serving;
	unsigned int i;

	*soak = (soak_t){ .setup = setup,
			  .version = 1,
			  .random = g_rand_new_with_seed(seed),
			  .document_random = g_rand_new_with_seed(seed),
			  .stops = g_array_new(FALSE, FALSE,
					       sizeof(soak_stop_t)),
			  .group = support_group_new(0, NULL) };
	soak->effects_path =
		g_build_filename(soak->group->folder, "effects", NULL);
	soak->control_list_path =
		g_build_filename(soak->group->folder, "controls", NULL);
	soak->internal_port = (int)support_free_port();
	g_mutex_init(&soak->controls_lock);
	seeds = control_addresses_draw_(soak);
	control_list_write_(soak);
	for (i = 0; i < setup->control_count; i++)
		process_add_(soak,
			     control_start_(soak, i, i, seeds->str, TRUE));
	for (i = 0; i < setup->entry_count; i++)
		entry_start_(soak, i, soak->internal_port, seeds->str);
	for (i = 0; i < setup->server_count; i++)
		server_start_(soak, i);
	g_string_free(seeds, TRUE);
	is_serving =
		support_wait_until(is_document_put_, soak, START_TIMEOUT_MS) &&
		support_wait_until(have_entries_served_, soak,
				   START_TIMEOUT_MS);
	if (!is_serving) {
		printf("    %u versions of the document are accepted, %u of %u "
		       "entries have served\n",
		       (unsigned int)soak->version - 1, soak->serving_count,
		       setup->entry_count);
		support_group_report(soak->group);
	}
	return is_serving;
}

void soak_clear(soak_t *soak)
{
	unsigned int i;

	support_group_delete(soak->group);
	for (i = 0; i < SOAK_CONTROL_MAX; i++) {
		g_free(soak->control_addresses[i]);
		g_free(soak->control_metrics[i]);
	}
	g_mutex_clear(&soak->controls_lock);
	g_free(soak->control_list_path);
	for (i = 0; i < SOAK_ENTRY_MAX; i++)
		g_free(soak->entry_addresses[i]);
	g_free(soak->effects_path);
	g_array_unref(soak->stops);
	g_rand_free(soak->random);
	g_rand_free(soak->document_random);
}

soak_process_t *soak_entries(soak_t *soak)
{
	return &soak->processes[soak->setup->control_count];
}

soak_process_t *soak_servers(soak_t *soak)
{
	return soak_entries(soak) + soak->setup->entry_count;
}

void soak_control_lose(soak_t *soak, unsigned int control)
{
	soak_process_t *process = &soak->processes[control];

	soak->fault_count++;
	g_mutex_lock(&soak->controls_lock);
	soak->is_control_gone[control] = TRUE;
	g_mutex_unlock(&soak->controls_lock);
	support_daemon_kill(process->daemon);
	process->restart_ms = INT64_MAX;
	control_list_write_(soak);
}

void soak_control_replace(soak_t *soak, unsigned int control)
{
	unsigned int count = soak->setup->control_count;
	unsigned int first =
		(unsigned int)g_rand_int_range(soak->random, 0, (int)count);
	unsigned int number = soak->control_start_count;
	unsigned int seed_count = 0;
	GString *seeds = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < count && seed_count < SUCCESSOR_SEEDS; i++) {
		unsigned int seed = (first + i) % count;

		if (!soak->is_control_gone[seed])
			g_string_append_printf(seeds, "%s\"%s\"",
					       seed_count++ ? "," : "",
					       soak->control_addresses[seed]);
	}
	g_mutex_lock(&soak->controls_lock);
	g_free(soak->control_addresses[control]);
	soak->control_addresses[control] =
		g_strdup_printf("127.0.0.%u:%d", number + 2,
				(int)support_free_port());
	soak->processes[control] = (soak_process_t){
		.daemon = control_start_(soak, control, number, seeds->str,
					 FALSE),
		.started_ms = now_ms_(),
	};
	soak->is_control_gone[control] = FALSE;
	g_mutex_unlock(&soak->controls_lock);
	control_list_write_(soak);
	g_string_free(seeds, TRUE);
}

int soak_control_leader(soak_t *soak)
{
	int leader = -1;
	unsigned int i;

	for (i = 0; i < soak->setup->control_count && leader < 0; i++) {
		char *text;

		if (soak->is_control_gone[i])
			continue;
		text = support_api_call(soak->control_metrics[i], "GET",
					"/metrics", "");
		if (strstr(text, "\ncb_control_leader 1\n"))
			leader = (int)i;
		g_free(text);
	}
	return leader;
}

int soak_control_version(soak_t *soak, unsigned int control)
{
	char *answer = support_api_call(soak->control_addresses[control], "GET",
					"/v1/config/get", "");
	const char *field = strstr(answer, "\"version\":");
	int version = 0;

	if (support_answer_status(answer) == 200 && field)
		version = atoi(field + strlen("\"version\":"));
	g_free(answer);
	return version;
}

gboolean soak_entry_has_version(const soak_t *soak, unsigned int entry,
				int version)
{
	char *text = g_strdup_printf("GET /version-%d/end HTTP/1.1\r\n"
				     "Host: h\r\nX-Request-Id: end\r\n"
				     "X-Time-Budget: 1000\r\n"
				     "Authorization: Bearer key\r\n\r\n",
				     version);
	char *answer =
		support_request_exchange(soak->entry_addresses[entry], text);
	gboolean is_served = support_answer_status(answer) == 200;

	g_free(answer);
	g_free(text);
	return is_served;
}

/* Notes that an entry was told to stop, or that it has ended. */
static void entry_stop_note_(soak_t *soak, const soak_process_t *process,
			     gboolean has_ended)
{
	soak_stop_t stop = {
		.entry = (unsigned int)(process - soak_entries(soak)),
		.stopped_ms = now_ms_(),
	};
	unsigned int i;

	if (process < soak_entries(soak) || process >= soak_servers(soak))
		return;
	if (!has_ended)
		g_array_append_val(soak->stops, stop);
	for (i = 0; has_ended && i < soak->stops->len; i++) {
		soak_stop_t *open = &g_array_index(soak->stops, soak_stop_t, i);

		if (open->entry == stop.entry && !open->ended_ms)
			open->ended_ms = stop.stopped_ms;
	}
}

void soak_process_signal(soak_t *soak, soak_process_t *process,
			 int signal_number, int pause_ms)
{
	if (!support_daemon_runs(process->daemon))
		return;
	soak->fault_count++;
	if (signal_number == SIGTERM)
		entry_stop_note_(soak, process, FALSE);
	process->exit.was_stopped |= signal_number == SIGTERM;
	process->exit.was_killed |= signal_number == SIGKILL;
	if (signal_number == SIGHUP)
		process->hung_up_ms = now_ms_();
	support_daemon_signal(process->daemon, signal_number);
	if (signal_number == SIGSTOP)
		process->resume_ms = now_ms_() + pause_ms;
}

/* Prints how a process ended, and when before that it got SIGHUP. */
static void unexpected_exit_print_(const soak_process_t *process)
{
	int64_t now_ms = now_ms_();

	printf("    %s ended by itself: exit code %d, signal %d, %d ms after its "
	       "start",
	       process->daemon->name, process->exit.exit_code,
	       process->exit.signal_number,
	       (int)(now_ms - process->started_ms));
	if (process->hung_up_ms)
		printf(", SIGHUP %d ms after it",
		       (int)(process->hung_up_ms - process->started_ms));
	putchar('\n');
}

/* Handles the end of a process; counts it if the test did not cause it. */
static void process_end_handle_(soak_t *soak, soak_process_t *process)
{
	GSubprocess *subprocess = process->daemon->process;

	g_subprocess_wait(subprocess, NULL, NULL);
	if (g_subprocess_get_if_signaled(subprocess))
		process->exit.signal_number =
			g_subprocess_get_term_sig(subprocess);
	if (g_subprocess_get_if_exited(subprocess))
		process->exit.exit_code =
			g_subprocess_get_exit_status(subprocess);
	if (!soak_exit_is_expected(&process->exit)) {
		soak->unexpected_exit_count++;
		unexpected_exit_print_(process);
	}
	(void)support_daemon_wait(process->daemon);
	entry_stop_note_(soak, process, TRUE);
	process->restart_ms =
		now_ms_() +
		g_rand_int_range(soak->random, 0, RESTART_DELAY_MAX_MS);
}

/*
 * Starts a process again that has ended, perhaps with another build.  This build's
 * programs read a SIGHUP that is held for them; the earlier build's would not.
 */
static void process_start_again_(soak_t *soak, soak_process_t *process)
{
	const soak_setup_t *setup = soak->setup;
	gboolean draws_build =
		setup->draws_build && process < soak_servers(soak);
	gboolean is_earlier = draws_build && !g_rand_boolean(soak->random);

	if (draws_build)
		support_program_set_folder(process->daemon,
					   is_earlier ?
						   setup->programs :
						   support_programs_folder());
	process->resume_ms = 0;
	process->exit = (soak_exit_t){ 0 };
	process->hung_up_ms = 0;
	process->daemon->holds_reloads = !is_earlier;
	support_daemon_start(process->daemon);
	process->started_ms = now_ms_();
}

/* Ends a pause that is over, and starts a process again that has ended. */
static void process_restore_(soak_t *soak, soak_process_t *process)
{
	int64_t now_ms = now_ms_();

	if (process->resume_ms && now_ms >= process->resume_ms) {
		process->resume_ms = 0;
		process->resumed_ms = now_ms;
		if (support_daemon_runs(process->daemon))
			support_daemon_signal(process->daemon, SIGCONT);
	}
	if (support_daemon_runs(process->daemon))
		return;
	if (process->daemon->process)
		process_end_handle_(soak, process);
	if (now_ms >= process->restart_ms)
		process_start_again_(soak, process);
}

void soak_processes_restore(soak_t *soak)
{
	unsigned int i;

	for (i = 0; i < soak->process_count; i++)
		process_restore_(soak, &soak->processes[i]);
}
