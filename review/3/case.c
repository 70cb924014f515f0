#include <stdio.h>
#include <string.h>

#include "../rig/rig.h"

/*
 * The operator sends a config from which one byte was lost: the comma between
 * two routes.  No parser of JSON can read it in full.
 */
#define CONTROLS 3
#define ENTRIES 3
#define SERVERS 3
#define SLOTS 6
#define ROUTES 3
#define WORK_MS 30
#define TIME_BUDGET_MS 2500
#define ANSWER_WAIT_MS 4000
#define CALM_MS 2000
/* The bound configApplyMs of the sheet. */
#define CONFIG_APPLY_MS 2000
/* Requests on each route and entry instance, before and after. */
#define REQUESTS 10

/* What the callers of one route got. */
typedef struct seen {
	unsigned int served;
	unsigned int unknown_route;
	unsigned int others;
} seen_t;

static gboolean request_handle_(rig_server_t *server, rig_request_t *request)
{
	char *id = rig_header(request->head, "X-Request-Id");
	gboolean is_health = !strcmp(request->target, "/health");
	char *answer =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
				"X-Request-Id: %s\r\nX-Server-Seal: %s.%s\r\n"
				"Content-Length: 2\r\n\r\nok",
				server->id, id ? id : "", server->id,
				id ? id : "");
	gboolean is_sent;

	if (!is_health) {
		rig_record(server->rig, "%s runs request %s, %s", server->id,
			   id ? id : "-", request->target);
		rig_sleep_ms(WORK_MS);
	}
	is_sent = rig_send_text(request->fd, answer);
	g_free(answer);
	g_free(id);
	return is_sent;
}

/* Returns a config of three routes; `separator` stands after the first one. */
static char *config_write_(int version, const char *separator)
{
	GString *text = g_string_new(NULL);
	int i;

	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);
	for (i = 0; i < ROUTES; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r-%d\",\"host\":\"h.example\","
			"\"pathPrefix\":\"/route%d/\",\"kind\":\"unsafe\","
			"\"timeoutMs\":2500,\"targetLatencyMs\":150,"
			"\"priority\":1,\"service\":\"desk\","
			"\"maxAttempts\":2,\"public\":false,"
			"\"sticky\":false}",
			i == 1 ? separator :
			i      ? "," :
				 "",
			i, i);
	g_string_append(text,
			"],\"services\":[{\"name\":\"desk\","
			"\"healthPath\":\"/health\",\"maxConnections\":248,"
			"\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
			"\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
			"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
			"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"key\"],"
			"\"priority\":1}]}");
	return g_string_free(text, FALSE);
}

static unsigned int request_send_(rig_t *rig, unsigned int entry, int route)
{
	char *id = rig_random_id();
	char *text = g_strdup_printf(
		"POST /route%d/x HTTP/1.1\r\nHost: h.example\r\n"
		"X-Request-Id: %s\r\nX-Time-Budget: %d\r\n"
		"Authorization: Bearer key\r\nContent-Length: 4\r\n\r\ntext",
		route, id, TIME_BUDGET_MS);
	rig_answer_t answer;
	unsigned int status = 0;

	if (rig_exchange(rig_entry(rig, entry), text, ANSWER_WAIT_MS, &answer))
		status = answer.status;
	rig_record(rig, "request %s, sent to front-%u, route %d: answered %u",
		   id, entry + 1, route, status);
	rig_answer_clear(&answer);
	g_free(text);
	g_free(id);
	return status;
}

/* Waits until every entry instance serves; FALSE: it takes too long. */
static gboolean start_wait_(rig_t *rig)
{
	int64_t end_ms = rig_now_ms() + RIG_START_MAX_MS;
	unsigned int i = 0;

	while (i < rig_entry_count(rig)) {
		if (rig_now_ms() >= end_ms)
			return FALSE;
		if (request_send_(rig, i, 0) == 200)
			i++;
		else
			rig_sleep_ms(200);
	}
	return TRUE;
}

/* Sends requests on all routes to all entry instances. */
static void routes_try_(rig_t *rig, const char *when, seen_t *seen)
{
	unsigned int i;
	int route;

	for (route = 0; route < ROUTES; route++) {
		seen[route] = (seen_t){ 0 };
		for (i = 0; i < REQUESTS * rig_entry_count(rig); i++) {
			unsigned int status =
				request_send_(rig, i % rig_entry_count(rig),
					      route);

			seen[route].served += status == 200;
			seen[route].unknown_route += status == 404;
			seen[route].others += status != 200 && status != 404;
		}
		rig_record(rig, "%s, route %d: %u get 200, %u get 404, %u else",
			   when, route, seen[route].served,
			   seen[route].unknown_route, seen[route].others);
	}
}

/* Plays the case with the deployment running; returns the exit code. */
static int case_play_(rig_t *rig)
{
	char *first = config_write_(7, ",");
	char *second = config_write_(12, rig_has_trouble() ? "" : ",");
	seen_t before[ROUTES];
	seen_t after[ROUTES];
	gboolean is_broken = FALSE;
	unsigned int status;
	int result = RIG_NOT_RUN;
	int route;

	if (!rig_config_put_until(rig, first) || !start_wait_(rig))
		goto out;
	rig_sleep_ms(CALM_MS);
	routes_try_(rig, "before", before);
	status = rig_config_put(rig, 1, second);
	rig_record(rig, "config 12%s: answered %u",
		   rig_has_trouble() ? " without a comma" : "", status);
	rig_sleep_ms(CONFIG_APPLY_MS + CALM_MS);
	routes_try_(rig, "after", after);
	if (rig_has_trouble() && status == 200) {
		rig_record(rig, "CONFIG: what is invalid is acknowledged");
		is_broken = TRUE;
	}
	for (route = 0; route < ROUTES; route++)
		if (before[route].served && after[route].unknown_route) {
			rig_record(rig,
				   "CONFIG: route %d, which all sent "
				   "configs hold, is gone",
				   route);
			is_broken = TRUE;
		}
	result = is_broken ? RIG_BROKEN : RIG_HELD;
out:
	g_free(second);
	g_free(first);
	return result;
}

int main(int count, char **arguments)
{
	rig_t *rig;
	int result = RIG_NOT_RUN;
	gboolean is_ready = TRUE;
	unsigned int i;

	if (count != 2)
		return RIG_NOT_RUN;
	rig = rig_new(CONTROLS, ENTRIES, arguments[1]);
	for (i = 0; i < SERVERS; i++)
		is_ready &=
			rig_server_start(rig, i, "desk", SLOTS, request_handle_,
					 NULL, NULL) != NULL;
	if (is_ready && rig_start(rig))
		result = case_play_(rig);
	rig_record(rig, "result: %s",
		   result == RIG_BROKEN ? "the rule is broken" :
		   result == RIG_HELD	? "the rule held" :
					  "the case could not run");
	rig_delete(rig);
	return result;
}
