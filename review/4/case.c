#include <stdio.h>
#include <string.h>

#include "../rig/rig.h"

/*
 * The operator takes away the keys of the last tenant: the config still has
 * `tenants`, but no tenant is left.  A caller whose key no config ever held
 * goes on to ask.
 */
#define CONTROLS 3
#define ENTRIES 3
#define SERVERS 3
#define SLOTS 6
#define WORK_MS 30
#define TIME_BUDGET_MS 2500
#define ANSWER_WAIT_MS 4000
#define CALM_MS 2000
/* The bound configApplyMs of the sheet. */
#define CONFIG_APPLY_MS 2000
/* Requests of each caller, before and after. */
#define REQUESTS 30
/* A key that no config holds. */
#define UNKNOWN_KEY "stranger"

/* What one caller got. */
typedef struct seen {
	unsigned int served;
	unsigned int unauthorized;
	unsigned int others;
} seen_t;

static gboolean request_handle_(rig_server_t *server, rig_request_t *request)
{
	char *id = rig_header(request->head, "X-Request-Id");
	char *tenant = rig_header(request->head, "X-Tenant");
	gboolean is_health = !strcmp(request->target, "/health");
	char *answer =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
				"X-Request-Id: %s\r\nX-Server-Seal: %s.%s\r\n"
				"Content-Length: 2\r\n\r\nok",
				server->id, id ? id : "", server->id,
				id ? id : "");
	gboolean is_sent;

	if (!is_health) {
		rig_record(server->rig, "%s runs request %s, tenant %s",
			   server->id, id ? id : "-", tenant ? tenant : "none");
		g_atomic_int_inc((int *)server->user_data);
		rig_sleep_ms(WORK_MS);
	}
	is_sent = rig_send_text(request->fd, answer);
	g_free(answer);
	g_free(tenant);
	g_free(id);
	return is_sent;
}

/* Returns a config with the members `tenants` of its list of tenants. */
static char *config_write_(int version, const char *tenants)
{
	return g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"r-lodge\","
		"\"host\":\"h.example\",\"pathPrefix\":\"/lodge/\","
		"\"kind\":\"unsafe\",\"timeoutMs\":2500,"
		"\"targetLatencyMs\":150,\"priority\":1,"
		"\"service\":\"desk\",\"maxAttempts\":2,\"public\":false,"
		"\"sticky\":false}],\"services\":[{\"name\":\"desk\","
		"\"healthPath\":\"/health\",\"maxConnections\":248,"
		"\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
		"\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[%s]}",
		version, tenants);
}

static unsigned int request_send_(rig_t *rig, unsigned int entry,
				  const char *key)
{
	char *id = rig_random_id();
	char *text = g_strdup_printf(
		"POST /lodge/x HTTP/1.1\r\nHost: h.example\r\n"
		"X-Request-Id: %s\r\nX-Time-Budget: %d\r\n"
		"Authorization: Bearer %s\r\nContent-Length: 4\r\n\r\ntext",
		id, TIME_BUDGET_MS, key);
	rig_answer_t answer;
	unsigned int status = 0;

	if (rig_exchange(rig_entry(rig, entry), text, ANSWER_WAIT_MS, &answer))
		status = answer.status;
	rig_record(rig, "request %s with key %s, sent to front-%u: answered %u",
		   id, key, entry + 1, status);
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
		if (request_send_(rig, i, "key") == 200)
			i++;
		else
			rig_sleep_ms(200);
	}
	return TRUE;
}

/* Sends requests with one key to all entry instances. */
static seen_t key_try_(rig_t *rig, const char *when, const char *key)
{
	seen_t seen = { 0 };
	unsigned int i;

	for (i = 0; i < REQUESTS; i++) {
		unsigned int status =
			request_send_(rig, i % rig_entry_count(rig), key);

		seen.served += status == 200;
		seen.unauthorized += status == 401;
		seen.others += status != 200 && status != 401;
	}
	rig_record(rig, "%s, key %s: %u get 200, %u get 401, %u else", when,
		   key, seen.served, seen.unauthorized, seen.others);
	return seen;
}

/* Plays the case with the deployment running; returns the exit code. */
static int case_play_(rig_t *rig, const int *runs)
{
	static const char tenant[] = "{\"name\":\"t\",\"apiKeys\":[\"key\"],"
				     "\"priority\":1}";
	char *first = config_write_(7, tenant);
	char *second = config_write_(12, rig_has_trouble() ? "" : tenant);
	int result = RIG_NOT_RUN;
	int runs_before;
	seen_t before;
	seen_t after;

	if (!rig_config_put_until(rig, first) || !start_wait_(rig))
		goto out;
	rig_sleep_ms(CALM_MS);
	(void)key_try_(rig, "before", "key");
	before = key_try_(rig, "before", UNKNOWN_KEY);
	if (before.served || !rig_config_put_until(rig, second))
		goto out;
	rig_record(rig, "config 12 with %s: acknowledged",
		   rig_has_trouble() ? "no tenant" : "the same tenant");
	rig_sleep_ms(CONFIG_APPLY_MS + CALM_MS);
	(void)key_try_(rig, "after", "key");
	runs_before = g_atomic_int_get(runs);
	after = key_try_(rig, "after", UNKNOWN_KEY);
	result = after.served && g_atomic_int_get(runs) > runs_before ?
			 RIG_BROKEN :
			 RIG_HELD;
	if (result == RIG_BROKEN)
		rig_record(rig, "ROUTE: requests ran whose key no config ever "
				"held");
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
	int runs = 0;

	if (count != 2)
		return RIG_NOT_RUN;
	rig = rig_new(CONTROLS, ENTRIES, arguments[1]);
	for (i = 0; i < SERVERS; i++)
		is_ready &=
			rig_server_start(rig, i, "desk", SLOTS, request_handle_,
					 NULL, &runs) != NULL;
	if (is_ready && rig_start(rig))
		result = case_play_(rig, &runs);
	rig_record(rig, "result: %s",
		   result == RIG_BROKEN ? "the rule is broken" :
		   result == RIG_HELD	? "the rule held" :
					  "the case could not run");
	rig_delete(rig);
	return result;
}
