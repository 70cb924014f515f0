#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../rig/rig.h"

/*
 * The operator puts a config in which the model has fewer layers than before.
 * The engines go on to report the layers that they hold, until they are ordered
 * to hold others.  With TROUBLE=ping, another writer sends one ping instead that
 * reports more layers than the model has.
 */
#define CONTROLS 3
#define ENTRIES 3
#define ENGINES 6
#define LAYERS_BEFORE 80
#define LAYERS_AFTER 32
#define LAYERS_OF_PING 20000
#define SLOTS 192
#define EVENTS 20
#define EVENT_INTERVAL_MS 20
#define STREAM_TIMEOUT_MS 5000
#define CALM_MS 5000
#define PLAY_MS 45000
#define CALLERS 12
/* A day counts for nothing from this many own ends of one machine on. */
#define ENDS_ALLOWED 2

/* What an engine holds. */
typedef struct engine {
	GMutex lock;
	unsigned int from;
	unsigned int to;
	unsigned int orders;
} engine_t;

/* What the callers of one run have seen. */
typedef struct counts {
	rig_t *rig;
	int stops;
	int served;
	int others;
} counts_t;

static int64_t number_read_(const char *text, const char *name)
{
	char *pattern = g_strdup_printf("\"%s\":", name);
	const char *found = strstr(text, pattern);
	int64_t number =
		found ? strtoll(found + strlen(pattern), NULL, 10) : -1;

	g_free(pattern);
	return number;
}

static gboolean json_answer_(int fd, unsigned int status, const char *text)
{
	char *answer = g_strdup_printf("HTTP/1.1 %u Answer\r\n"
				       "Content-Type: application/json\r\n"
				       "Content-Length: %zu\r\n\r\n%s",
				       status, strlen(text), text);
	gboolean is_sent = rig_send_text(fd, answer);

	g_free(answer);
	return is_sent;
}

/* Carries out an order to hold layers, unless it expects other orders before. */
static gboolean order_handle_(rig_server_t *server, rig_request_t *request)
{
	engine_t *engine = server->user_data;
	const char *text = request->body->str;
	int64_t expected = number_read_(text, "expect");
	unsigned int status = 409;

	if (!strstr(text, "\"place\""))
		return json_answer_(request->fd, 400, "{}");
	g_mutex_lock(&engine->lock);
	if (expected < 0 || expected == (int64_t)engine->orders) {
		engine->orders++;
		engine->from = (unsigned int)number_read_(text, "from");
		engine->to = (unsigned int)number_read_(text, "to");
		status = 202;
	}
	g_mutex_unlock(&engine->lock);
	rig_record(server->rig, "order to %s: %s -> %u", server->id, text,
		   status);
	return json_answer_(request->fd, status, "{}");
}

/* Returns the member "layers" of what an engine says of itself. */
static char *layers_text_(engine_t *engine)
{
	char *text;

	g_mutex_lock(&engine->lock);
	text = engine->from == engine->to ?
		       g_strdup("\"layers\":null") :
		       g_strdup_printf("\"layers\":{\"from\":%u,\"to\":%u,"
				       "\"version\":1}",
				       engine->from, engine->to);
	g_mutex_unlock(&engine->lock);
	return text;
}

static gboolean report_handle_(rig_server_t *server, rig_request_t *request)
{
	engine_t *engine = server->user_data;
	char *layers = layers_text_(engine);
	char *text = g_strdup_printf(
		"{\"stage\":\"both\",\"models\":[],\"busy\":false,"
		"\"sequence\":%u,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
		"\"kvTotal\":90000,\"handles\":0,\"stalled\":[],"
		"\"kind\":\"a100s\",\"pace\":1.0,%s}",
		engine->orders, layers);
	gboolean is_sent = json_answer_(request->fd, 200, text);

	g_free(text);
	g_free(layers);
	return is_sent;
}

/* Whether this engine holds the part of the chain that is its own. */
static gboolean part_is_held_(rig_server_t *server, const char *hops)
{
	engine_t *engine = server->user_data;
	const char *own = hops ? strstr(hops, server->address) : NULL;
	unsigned int from;
	unsigned int to;
	gboolean is_held;

	if (!own ||
	    sscanf(own + strlen(server->address), "=%u-%u", &from, &to) != 2)
		return FALSE;
	g_mutex_lock(&engine->lock);
	is_held = engine->from <= from && to <= engine->to;
	g_mutex_unlock(&engine->lock);
	return is_held;
}

/* Writes a stream of events in chunks. */
static gboolean stream_handle_(rig_server_t *server, rig_request_t *request)
{
	char *id = rig_header(request->head, "X-Request-Id");
	char *hops = rig_header(request->head, "X-Hop-Count");
	char *last = rig_header(request->head, "Last-Event-Id");
	gboolean is_held = part_is_held_(server, hops);
	char *head =
		is_held ? g_strdup_printf("HTTP/1.1 200 OK\r\n"
					  "X-Request-Id: %s\r\n"
					  "X-Server-Seal: %s.%s\r\n"
					  "Content-Type: text/event-stream\r\n"
					  "Transfer-Encoding: chunked\r\n\r\n",
					  id, server->id, id) :
			  g_strdup_printf("HTTP/1.1 421 Not here\r\n"
					  "X-Request-Id: %s\r\n"
					  "X-Not-Executed: 1\r\n"
					  "At-Server: %s\r\n"
					  "Content-Length: 0\r\n\r\n",
					  id, server->address);
	gboolean is_sent = rig_send_text(request->fd, head);
	int i;

	rig_record(server->rig, "%s %s request %s", server->id,
		   is_held ? "runs" : "does not run", id);
	for (i = last ? atoi(last) + 1 : 0; is_held && is_sent && i < EVENTS;
	     i++) {
		char *event = g_strdup_printf("id: %d\ndata: token\n\n", i);
		char *chunk =
			g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		rig_sleep_ms(EVENT_INTERVAL_MS);
		is_sent = rig_send_text(request->fd, chunk);
		g_free(chunk);
		g_free(event);
	}
	if (is_held && is_sent)
		is_sent = rig_send_text(request->fd, "0\r\n\r\n");
	g_free(head);
	g_free(last);
	g_free(hops);
	g_free(id);
	return is_sent;
}

static gboolean request_handle_(rig_server_t *server, rig_request_t *request)
{
	char *health;
	gboolean is_sent;

	if (!strcmp(request->target, "/v1/order"))
		return order_handle_(server, request);
	if (!strcmp(request->target, "/v1/report"))
		return report_handle_(server, request);
	if (strcmp(request->target, "/health") != 0)
		return stream_handle_(server, request);
	health = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
				 "Content-Length: 0\r\n\r\n",
				 server->id);
	is_sent = rig_send_text(request->fd, health);
	g_free(health);
	return is_sent;
}

static char *beat_write_(rig_server_t *server)
{
	char *layers = layers_text_(server->user_data);
	char *text = g_strdup_printf("\"stage\":\"both\",\"models\":[],"
				     "\"kind\":\"a100s\",%s,",
				     layers);

	g_free(layers);
	return text;
}

static char *config_write_(int version, int layers)
{
	return g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"r-draft\","
		"\"host\":\"h.example\",\"pathPrefix\":\"/draft/\","
		"\"kind\":\"stream\",\"timeoutMs\":20000,"
		"\"targetLatencyMs\":500,\"priority\":1,"
		"\"service\":\"scribe\",\"maxAttempts\":2,\"public\":false,"
		"\"sticky\":true,\"resumable\":true,\"targetGapMs\":200}],"
		"\"services\":[{\"name\":\"scribe\",\"healthPath\":\"/health\","
		"\"maxConnections\":2200,\"protocol\":\"h1\",\"tls\":false,"
		"\"engine\":{\"slots\":%d,\"kvCacheTokens\":100000,"
		"\"kvTokenBytes\":459000,\"linkMbps\":480000.0,\"stride\":2,"
		"\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"loadS\":1.0,"
		"\"warmS\":1.0}],\"step_ms\":0.85,\"per_seq_ms\":0.00297,"
		"\"context_per_k\":0.00398,\"read_per_s\":252000.0,"
		"\"pairs_per_m\":0.129,\"chunk\":512,\"report_lag_ms\":200.0,"
		"\"loadsPerS\":0.0,\"loads_at_once\":6,"
		"\"usual\":{\"prompt\":772,\"answer\":154},\"layers\":%d,"
		"\"layerMb\":400.0,\"activationBytes\":22900,"
		"\"pipeMbps\":7900.0,\"kinds\":[{\"name\":\"a100s\","
		"\"mb\":36000.0,\"pace\":3.1,\"readX\":3.2}]}}],"
		"\"limits\":{\"maxHeaderBytes\":16384,"
		"\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
		"\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t\","
		"\"apiKeys\":[\"key\"],\"priority\":1}]}",
		version, SLOTS, layers);
}

/* Sends the ping of another writer; returns the status. */
static unsigned int ping_send_(rig_t *rig)
{
	char *body = g_strdup_printf(
		"{\"service\":\"scribe\",\"address\":\"127.0.0.99:9\","
		"\"zone\":\"z0\",\"version\":\"v1\",\"slots\":%d,"
		"\"state\":\"ready\",\"coldRemainingMs\":0,"
		"\"born\":%" G_GINT64_FORMAT ",\"stage\":\"both\","
		"\"models\":[],\"kind\":\"a100s\",\"layers\":{\"from\":0,"
		"\"to\":%d,\"version\":1},\"sequence\":1}",
		SLOTS, g_get_real_time() / 1000, LAYERS_OF_PING);
	char *text = g_strdup_printf(
		"POST /v1/instances/i-other/heartbeat HTTP/1.1\r\n"
		"Host: c\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	rig_answer_t answer;
	unsigned int status = 0;

	if (rig_exchange(rig_control(rig, 0), text, 1000, &answer))
		status = answer.status;
	rig_answer_clear(&answer);
	g_free(text);
	g_free(body);
	return status;
}

/* Asks an entry instance for a stream; returns the status, 0: none is whole. */
static unsigned int stream_ask_(rig_t *rig, unsigned int entry)
{
	char *id = rig_random_id();
	char *text = g_strdup_printf(
		"POST /draft/x HTTP/1.1\r\nHost: h.example\r\n"
		"X-Request-Id: %s\r\nX-Time-Budget: 5000\r\n"
		"Authorization: Bearer key\r\nX-Model: m0\r\n"
		"X-Token-Count: 772,154\r\nX-Prompt-Prefix: 5c1e:40,%s:732\r\n"
		"Content-Length: 4\r\n\r\ntext",
		id, id + 8);
	rig_answer_t answer;
	unsigned int status = 0;

	if (rig_exchange(rig_entry(rig, entry), text, STREAM_TIMEOUT_MS,
			 &answer))
		status = answer.status;
	rig_record(rig, "request %s, sent to front-%u: answered %u", id,
		   entry + 1, status);
	rig_answer_clear(&answer);
	g_free(text);
	g_free(id);
	return status;
}

/* Asks one entry instance after the other until the play is over. */
static void *caller_run_(void *user_data)
{
	counts_t *counts = user_data;
	unsigned int i = 0;

	while (!g_atomic_int_get(&counts->stops)) {
		unsigned int status =
			stream_ask_(counts->rig,
				    i++ % rig_entry_count(counts->rig));

		g_atomic_int_inc(status == 200 ? &counts->served :
						 &counts->others);
		rig_sleep_ms(100);
	}
	return NULL;
}

/* Waits until every entry instance serves; FALSE: it takes too long. */
static gboolean start_wait_(rig_t *rig)
{
	int64_t end_ms = rig_now_ms() + RIG_START_MAX_MS;
	unsigned int i = 0;

	while (i < rig_entry_count(rig)) {
		if (rig_now_ms() >= end_ms)
			return FALSE;
		if (stream_ask_(rig, i) == 200)
			i++;
		else
			rig_sleep_ms(200);
	}
	return TRUE;
}

/*
 * Whether the day would count for nothing: on a tenth of the machines, two at
 * least, or on half of the core, processes have ended three times by themselves.
 */
static gboolean fault_is_seen_(rig_t *rig)
{
	unsigned int core = 0;
	unsigned int all = 0;
	unsigned int i;

	for (i = 0; i < rig_control_count(rig); i++) {
		unsigned int ends = rig_control_ends(rig, i);

		rig_record(rig, "core-%u has ended %u times by itself", i + 1,
			   ends);
		core += ends > ENDS_ALLOWED;
	}
	for (i = 0; i < rig_entry_count(rig); i++) {
		unsigned int ends = rig_entry_ends(rig, i);

		rig_record(rig, "front-%u has ended %u times by itself", i + 1,
			   ends);
		all += ends > ENDS_ALLOWED;
	}
	all += core;
	return all >= 2 || core * 2 >= rig_control_count(rig);
}

static gboolean engines_start_(rig_t *rig)
{
	unsigned int i;

	for (i = 0; i < ENGINES; i++) {
		engine_t *engine = g_new0(engine_t, 1);

		g_mutex_init(&engine->lock);
		if (!rig_server_start(rig, i, "scribe", SLOTS, request_handle_,
				      beat_write_, engine))
			return FALSE;
	}
	return TRUE;
}

/* Plays the case with the deployment running; returns the exit code. */
static int case_play_(rig_t *rig)
{
	counts_t counts = { .rig = rig };
	char *before = config_write_(7, LAYERS_BEFORE);
	char *after = config_write_(12, LAYERS_AFTER);
	GThread *callers[CALLERS];
	int result = RIG_NOT_RUN;
	int i;

	if (!rig_config_put_until(rig, before) || !start_wait_(rig))
		goto out;
	rig_record(rig, "all entry instances serve");
	for (i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_run_, &counts);
	rig_sleep_ms(CALM_MS);
	rig_record(rig, "so far %d streams served, %d not", counts.served,
		   counts.others);
	if (!g_strcmp0(g_getenv("TROUBLE"), "ping"))
		rig_record(rig, "a ping with %d layers: %u", LAYERS_OF_PING,
			   ping_send_(rig));
	else if (rig_has_trouble())
		rig_record(rig, "config 12 with %d layers: %s", LAYERS_AFTER,
			   rig_config_put_until(rig, after) ? "acknowledged" :
							      "no answer");
	rig_sleep_ms(PLAY_MS);
	g_atomic_int_set(&counts.stops, 1);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	rig_record(rig, "in all %d streams served, %d not", counts.served,
		   counts.others);
	result = fault_is_seen_(rig) ? RIG_BROKEN : RIG_HELD;
out:
	g_free(after);
	g_free(before);
	return result;
}

int main(int count, char **arguments)
{
	rig_t *rig;
	int result = RIG_NOT_RUN;

	if (count != 2)
		return RIG_NOT_RUN;
	rig = rig_new(CONTROLS, ENTRIES, arguments[1]);
	if (engines_start_(rig) && rig_start(rig))
		result = case_play_(rig);
	rig_record(rig, "result: %s",
		   result == RIG_BROKEN ? "the rule is broken" :
		   result == RIG_HELD	? "the rule held" :
					  "the case could not run");
	rig_delete(rig);
	return result;
}
