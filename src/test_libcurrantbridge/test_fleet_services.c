#include "support_main.h"

#include <stdio.h>
#include <string.h>

#include "currantbridge/fleet.h"
#include "support_world.h"

/*
 * Tests of which reports change the fleet, by the services that the configuration
 * has: docs/FLEET.md.  "desk" is the service of a sound server, "fresh" one that a
 * later configuration may have, and "other" one that none has.
 */
#define START_LIMIT_MS 10000
#define SILENCE_MS 3000
#define PROPAGATION_MS 500
/* The records of servers that are not heard of are removed by then. */
#define FORGOTTEN_MS 130000
#define STEPS_MAX 7

typedef enum step_kind {
	STEP_END,
	STEP_REPORT,
	STEP_CONFIGURE, /* `service` has all services from now on */
	STEP_EXPIRE,	/* after SILENCE_MS without a heartbeat */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	/* The service of a report, or the services of the configuration. */
	const char *service;
	const char *id;
	const char *address;
	int64_t start_ms;
	uint64_t sequence;
	cb_fleet_state_t state;
	cb_fleet_outcome_t outcome;
	/* Of an engine's report; NULL: it tells no kind. */
	const char *engine_kind;
	uint32_t layer_to;
	gboolean lacks_layers;
} step_t;

#define CONFIGURE(services)                                 \
	{                                                   \
		.kind = STEP_CONFIGURE, .service = services \
	}
#define EXPIRE                      \
	{                           \
		.kind = STEP_EXPIRE \
	}
#define REPORT(service_, id_, address_, start, sequence_, state_, outcome_)    \
	{                                                                      \
		.kind = STEP_REPORT, .service = service_, .id = id_,           \
		.address = address_, .start_ms = start, .sequence = sequence_, \
		.state = state_, .outcome = outcome_                           \
	}
/* A report of the engine "e" of one start, or of another program under its ID. */
#define ENGINE(sequence_, state_, outcome_, engine, to, lacks)               \
	{                                                                    \
		.kind = STEP_REPORT, .service = "model", .id = "e",          \
		.address = "x:1", .start_ms = 10, .sequence = sequence_,     \
		.state = state_, .outcome = outcome_, .engine_kind = engine, \
		.layer_to = to, .lacks_layers = lacks                        \
	}
/* The first report of the sound server. */
#define SOUND REPORT("desk", "a", "x:1", 10, 1, READY, CHANGED)
/* One that the fleet must take as an ordinary heartbeat. */
#define SOUND_AGAIN REPORT("desk", "a", "x:1", 10, 2, READY, SAME)
#define READY CB_FLEET_READY
#define DRAINING CB_FLEET_DRAINING
#define GONE CB_FLEET_GONE
#define CHANGED CB_FLEET_CHANGED
#define SAME CB_FLEET_SAME
#define STALE CB_FLEET_STALE
#define APART CB_FLEET_UNCONFIGURED
#define INVALID CB_FLEET_INVALID

typedef struct rule_case {
	const char *name;
	step_t steps[STEPS_MAX];
	/* "ID SERVICE STATE;" of each server of the fleet, by ID */
	const char *fleet;
	unsigned int apart; /* servers kept apart in the end */
} rule_case_t;

static const rule_case_t rule_cases[] = {
	{ "address, later start",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("other", "b", "x:1", 20, 1, READY, APART), SOUND_AGAIN },
	  "a desk ready;",
	  1 },
	{ "address, later start, drains",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("other", "b", "x:1", 20, 1, DRAINING, APART), SOUND_AGAIN },
	  "a desk ready;",
	  1 },
	{ "ID, high sequence",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("other", "a", "x:1", 10, 99, READY, APART), SOUND_AGAIN },
	  "a desk ready;",
	  1 },
	{ "ID, later start, other address",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("other", "a", "x:2", 20, 1, READY, APART), SOUND_AGAIN },
	  "a desk ready;",
	  1 },
	{ "ID, drains",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("other", "a", "x:1", 10, 99, DRAINING, APART), SOUND_AGAIN },
	  "a desk ready;",
	  1 },
	{ "ID, gone",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("other", "a", "x:1", 10, 99, GONE, APART), SOUND_AGAIN },
	  "a desk ready;",
	  0 },
	{ "ID and address before the server's first report",
	  { CONFIGURE("desk"),
	    REPORT("other", "a", "x:1", 20, 99, READY, APART),
	    REPORT("other", "b", "x:1", 20, 1, READY, APART), SOUND,
	    SOUND_AGAIN },
	  "a desk ready;",
	  2 },
	{ "ID and address before any configuration",
	  { REPORT("other", "a", "x:1", 20, 99, READY, APART),
	    REPORT("desk", "a", "x:1", 10, 1, READY, APART),
	    REPORT("other", "b", "x:1", 20, 1, READY, APART), CONFIGURE("desk"),
	    SOUND_AGAIN },
	  "a desk ready;",
	  2 },
	{ "a server without heartbeats isn't kept up",
	  { CONFIGURE("desk"), SOUND, EXPIRE,
	    REPORT("other", "a", "x:1", 10, 99, READY, APART) },
	  "a desk silent;",
	  1 },
	{ "kept apart until it is silent",
	  { CONFIGURE("desk"), REPORT("fresh", "b", "x:2", 20, 1, READY, APART),
	    EXPIRE, CONFIGURE("desk fresh") },
	  "",
	  0 },
	{ "later configuration",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("fresh", "b", "x:2", 20, 1, READY, APART),
	    CONFIGURE("desk fresh"),
	    REPORT("fresh", "b", "x:2", 20, 2, READY, SAME) },
	  "a desk ready;b fresh ready;",
	  0 },
	{ "later configuration, address of an earlier start",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("fresh", "b", "x:1", 20, 1, READY, APART),
	    CONFIGURE("desk fresh") },
	  "a desk gone;b fresh ready;",
	  0 },
	{ "later configuration, address of a later start",
	  { CONFIGURE("desk"), REPORT("fresh", "b", "x:1", 5, 1, READY, APART),
	    SOUND, CONFIGURE("desk fresh"),
	    REPORT("fresh", "b", "x:1", 5, 2, READY, STALE) },
	  "a desk ready;",
	  0 },
	{ "later configuration, ID of an earlier start",
	  { CONFIGURE("desk"), SOUND,
	    REPORT("fresh", "a", "x:1", 20, 1, READY, APART),
	    CONFIGURE("desk fresh") },
	  "a fresh ready;",
	  0 },
	{ "later configuration, drained before it",
	  { CONFIGURE("desk"),
	    REPORT("fresh", "b", "x:2", 20, 2, DRAINING, APART),
	    REPORT("fresh", "b", "x:2", 20, 1, READY, APART),
	    REPORT("fresh", "b", "x:2", 20, 3, READY, APART),
	    CONFIGURE("desk fresh") },
	  "b fresh draining;",
	  0 },
	{ "later configuration, restarted before it",
	  { CONFIGURE("desk"),
	    REPORT("fresh", "b", "x:2", 20, 2, DRAINING, APART),
	    REPORT("fresh", "b", "x:2", 21, 1, READY, APART),
	    CONFIGURE("desk fresh") },
	  "b fresh ready;",
	  0 },
	{ "real start at an address",
	  { CONFIGURE("desk fresh"), SOUND,
	    REPORT("fresh", "b", "x:1", 20, 1, READY, CHANGED),
	    REPORT("desk", "a", "x:1", 10, 2, READY, STALE) },
	  "a desk gone;b fresh ready;",
	  0 },
	{ "real start under an ID",
	  { CONFIGURE("desk fresh"), SOUND,
	    REPORT("fresh", "a", "x:1", 20, 1, READY, CHANGED) },
	  "a fresh ready;",
	  0 },
	{ "service leaves the configuration, the process goes on",
	  { CONFIGURE("desk"), SOUND, CONFIGURE("fresh"), SOUND_AGAIN,
	    REPORT("desk", "a", "x:1", 10, 3, DRAINING, CHANGED) },
	  "a desk draining;",
	  0 },
	{ "service leaves the configuration, another start at the address",
	  { CONFIGURE("desk"), SOUND, CONFIGURE("fresh"),
	    REPORT("fresh", "b", "x:1", 5, 1, READY, CHANGED),
	    REPORT("desk", "a", "x:1", 10, 2, READY, APART) },
	  "a desk gone;b fresh ready;",
	  1 },
	{ "service leaves the configuration, another service under the ID",
	  { CONFIGURE("desk"), SOUND, CONFIGURE("fresh"),
	    REPORT("fresh", "a", "x:2", 5, 1, READY, CHANGED) },
	  "a fresh ready;",
	  0 },
	{ "an engine's process without kind and layers",
	  { CONFIGURE("model"), ENGINE(1, READY, CHANGED, "k", 8, FALSE),
	    ENGINE(99, READY, INVALID, NULL, 0, TRUE),
	    ENGINE(99, DRAINING, INVALID, NULL, 0, TRUE),
	    ENGINE(2, READY, SAME, "k", 8, FALSE) },
	  "e model k 8 ready;",
	  0 },
	{ "an engine's process without layers",
	  { CONFIGURE("model"), ENGINE(1, READY, CHANGED, "k", 8, FALSE),
	    ENGINE(99, READY, INVALID, "k", 0, TRUE),
	    ENGINE(2, READY, SAME, "k", 8, FALSE) },
	  "e model k 8 ready;",
	  0 },
	{ "an engine's process without kind",
	  { CONFIGURE("model"), ENGINE(1, READY, CHANGED, "k", 8, FALSE),
	    ENGINE(99, READY, INVALID, NULL, 8, FALSE),
	    ENGINE(2, READY, SAME, "k", 8, FALSE) },
	  "e model k 8 ready;",
	  0 },
	{ "an engine's process after a report without kind",
	  { CONFIGURE("model"), ENGINE(99, READY, APART, NULL, 0, TRUE),
	    ENGINE(1, READY, CHANGED, "k", 8, FALSE),
	    ENGINE(2, READY, SAME, "k", 8, FALSE) },
	  "e model k 8 ready;",
	  1 },
	{ "an engine gives up its layers and takes others",
	  { CONFIGURE("model"), ENGINE(1, READY, CHANGED, "k", 8, FALSE),
	    ENGINE(2, READY, CHANGED, "k", 0, FALSE),
	    ENGINE(3, READY, CHANGED, "k", 4, FALSE) },
	  "e model k 4 ready;",
	  0 },
	{ "an engine's later start without kind and layers",
	  { CONFIGURE("model"), ENGINE(1, READY, CHANGED, "k", 8, FALSE),
	    REPORT("model", "e", "x:1", 20, 1, READY, APART),
	    ENGINE(2, READY, SAME, "k", 8, FALSE) },
	  "e model k 8 ready;",
	  1 },
	{ "a later start without kind at an engine's address",
	  { CONFIGURE("model"), ENGINE(1, READY, CHANGED, "k", 8, FALSE),
	    REPORT("model", "f", "x:1", 20, 1, READY, APART),
	    ENGINE(2, READY, SAME, "k", 8, FALSE) },
	  "e model k 8 ready;",
	  1 },
	{ "an engine of a kind that a later configuration has",
	  { CONFIGURE("desk"), ENGINE(1, READY, APART, "other kind", 8, FALSE),
	    CONFIGURE("model") },
	  "",
	  1 },
	{ "service leaves the configuration, a process starts",
	  { CONFIGURE("desk"), SOUND, CONFIGURE("fresh"),
	    REPORT("desk", "a", "x:1", 20, 1, READY, APART),
	    CONFIGURE("desk fresh"),
	    REPORT("desk", "a", "x:1", 20, 2, READY, SAME) },
	  "a desk ready;",
	  0 },
};

/* Makes a document of a space-separated list of services; "model" is of engines. */
static cb_document_t *document_make_(const char *services)
{
	cb_document_t *document = cb_document_new();
	char **list = g_strsplit(services, " ", -1);
	char **name;

	for (name = list; *name; name++) {
		cb_service_profile_t *service = cb_service_profile_new(*name);
		cb_engine_kind_t *kind;

		if (!strcmp(*name, "model")) {
			kind = g_new0(cb_engine_kind_t, 1);
			kind->name = g_strdup("k");
			service->engine = cb_engine_profile_new();
			service->engine->layers = 8;
			g_ptr_array_add(service->engine->kinds, kind);
		}
		cb_document_add_service(document, service);
	}
	g_strfreev(list);
	return document;
}

/* Returns whether the document that `user_data` points to can use a server. */
static gboolean report_is_usable_(const cb_fleet_server_t *report,
				  void *user_data)
{
	return cb_fleet_document_can_use(*(cb_document_t **)user_data, report);
}

static cb_fleet_server_t report_make_(const step_t *step)
{
	return (cb_fleet_server_t){
		.id = (char *)step->id,
		.service = (char *)step->service,
		.address = (char *)step->address,
		.data_centre = (char *)"dc1",
		.start_wall_ms = step->start_ms,
		.sequence = step->sequence,
		.state = step->state,
		.kind = (char *)step->engine_kind,
		.layer_to = step->layer_to,
		.lacks_layers = step->lacks_layers,
	};
}

/* Returns "ID SERVICE STATE;" of each server, "ID SERVICE KIND LAYERS STATE;" of engines. */
static char *fleet_describe_(const cb_fleet_t *fleet)
{
	const GPtrArray *servers = cb_fleet_servers(fleet);
	GString *text = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];

		g_string_append_printf(text, "%s %s ", server->id,
				       server->service);
		if (server->kind)
			g_string_append_printf(text, "%s %u ", server->kind,
					       server->layer_to);
		g_string_append_printf(text, "%s;",
				       cb_fleet_state_string[server->state]);
	}
	return g_string_free(text, FALSE);
}

/* Sends a report as another process would; the receiver has to decide alike. */
static void report_merge_(cb_fleet_t *fleet, const step_t *step, int64_t now_ms)
{
	cb_fleet_server_t report = report_make_(step);
	cb_fleet_t *sender = cb_fleet_new();
	GBytes *bytes;

	cb_fleet_update(sender, &report, now_ms);
	bytes = cb_fleet_encode(sender, CB_FLEET_ALL, now_ms);
	CU_ASSERT_TRUE(cb_fleet_merge(fleet, bytes, now_ms));
	g_bytes_unref(bytes);
	cb_fleet_delete(sender);
}

/* Plays a case with the servers' own reports, or with those of other processes. */
static void rule_case_play_(const rule_case_t *rule_case, gboolean is_merged)
{
	cb_fleet_t *fleet = cb_fleet_new();
	cb_document_t *configured = NULL;
	int64_t now_ms = 0;
	char *described;
	size_t i;

	cb_fleet_set_check(fleet, report_is_usable_, &configured);
	for (i = 0; i < STEPS_MAX; i++) {
		const step_t *step = &rule_case->steps[i];
		cb_fleet_server_t report = report_make_(step);

		switch (step->kind) {
		case STEP_CONFIGURE:
			cb_document_unref(configured);
			configured = document_make_(step->service);
			cb_fleet_admit_configured(fleet);
			break;
		case STEP_EXPIRE:
			now_ms += SILENCE_MS;
			cb_fleet_expire(fleet, now_ms, SILENCE_MS,
					10 * SILENCE_MS);
			break;
		case STEP_REPORT:
			/* Records always tell layers, so that none lacks only these. */
			if (is_merged &&
			    !(step->lacks_layers && step->engine_kind))
				report_merge_(fleet, step, now_ms);
			else if (!is_merged)
				CU_ASSERT_EQUAL(cb_fleet_update(fleet, &report,
								now_ms),
						step->outcome);
			break;
		default:
			break;
		}
	}
	described = fleet_describe_(fleet);
	if (strcmp(described, rule_case->fleet) != 0)
		printf("    %s: %s\n", rule_case->name, described);
	CU_ASSERT_STRING_EQUAL(described, rule_case->fleet);
	CU_ASSERT_EQUAL(cb_fleet_unconfigured_count(fleet), rule_case->apart);
	g_free(described);
	cb_fleet_delete(fleet);
	cb_document_unref(configured);
}

/*
 * A report on a service that no configuration has took the address or the record of
 * a sound server.
 */
static void reports_change_the_fleet_by_their_service(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rule_cases); i++) {
		rule_case_play_(&rule_cases[i], FALSE);
		rule_case_play_(&rule_cases[i], TRUE);
	}
}

/* Reads a document whose text is a list of services. */
static cb_document_t *document_open_(const cb_document_codec_t *codec,
				     const char *text, size_t size,
				     GArray *route_texts, GError **error)
{
	char *services = g_strndup(text, size);
	cb_document_t *document = document_make_(services);

	(void)codec;
	(void)route_texts;
	(void)error;
	g_free(services);
	return document;
}

static const cb_document_codec_vtable_t codec_vtable = {
	.open = document_open_
};
static const cb_document_codec_t codec = { &codec_vtable };

static void outcome_store_(cb_submit_outcome_t outcome,
			   const cb_answer_t *answer, void *user_data)
{
	(void)answer;
	*(cb_submit_outcome_t *)user_data = outcome;
}

/* Returns a world whose three nodes read documents. */
static world_t *world_make_(void)
{
	world_t *world = world_new_with_codec(3, 1, 23, SILENCE_MS, &codec);

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	return world;
}

static void services_put_(world_t *world, int64_t version, const char *services)
{
	cb_submit_outcome_t outcome = CB_SUBMIT_OUTCOME_COUNT;

	cb_node_put_document(world->nodes[0].node, version, services,
			     strlen(services), outcome_store_, &outcome);
	world_run_until(world, NULL, PROPAGATION_MS);
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
}

/* Sends a report to a node; returns the outcome some time later. */
static cb_submit_outcome_t report_send_(world_t *world, size_t node,
					const step_t *step)
{
	cb_submit_outcome_t outcome = CB_SUBMIT_OUTCOME_COUNT;
	cb_fleet_server_t report = report_make_(step);

	cb_node_server_announce(world->nodes[node].node, &report,
				outcome_store_, &outcome);
	world_run_until(world, NULL, PROPAGATION_MS);
	return outcome;
}

/* Sends a notice of leaving to a node; returns the outcome some time later. */
static cb_submit_outcome_t leave_send_(world_t *world, size_t node,
				       const char *id, const char *service,
				       int64_t start_ms)
{
	cb_submit_outcome_t outcome = CB_SUBMIT_OUTCOME_COUNT;

	cb_node_server_leave(world->nodes[node].node, id, service, start_ms,
			     outcome_store_, &outcome);
	world_run_until(world, NULL, PROPAGATION_MS);
	return outcome;
}

/* Checks the fleet of each running node. */
static void fleets_check_(world_t *world, const char *expected)
{
	size_t i;

	for (i = 0; i < world->node_count; i++) {
		char *described;

		if (!world->nodes[i].node)
			continue;
		described =
			fleet_describe_(cb_node_fleet(world->nodes[i].node));
		CU_ASSERT_STRING_EQUAL(described, expected);
		g_free(described);
	}
}

/*
 * A draining heartbeat with the ID and start of a sound server, but another service,
 * ended that server's use.  No stop is committed; also not by a node that has no
 * server and no document of its own yet, and when a node that restarts takes its
 * servers from the replicated state.
 */
static void stops_of_unknown_programs_are_not_committed(void)
{
	static const step_t sound = SOUND;
	static const step_t foreign =
		REPORT("other", "a", "x:1", 10, 99, DRAINING, APART);
	world_t *world = world_make_();
	size_t i;

	services_put_(world, 1, "desk");
	CU_ASSERT_EQUAL(report_send_(world, 0, &sound), CB_SUBMIT_ANSWERED);
	for (i = 0; i < world->node_count; i++)
		CU_ASSERT_EQUAL(report_send_(world, i, &foreign),
				CB_SUBMIT_ANSWERED);
	world_node_stop(world, 1);
	world_node_start(world, 1);
	world_run_until(world, NULL, 2 * PROPAGATION_MS);
	fleets_check_(world, "a desk ready;");
	CU_ASSERT_FALSE(cb_view_is_stopped(world->clients[0].view,
					   CB_STOP_SERVER, "a/10"));
	world_delete(world);
}

/*
 * A draining heartbeat with the ID and start of an engine, but without its kind and
 * layers, ended the engine's use.
 */
static void incomplete_stops_of_engines_are_refused(void)
{
	static const step_t engine = ENGINE(1, READY, CHANGED, "k", 8, FALSE);
	static const step_t incomplete =
		ENGINE(99, DRAINING, INVALID, NULL, 0, TRUE);
	static const step_t draining =
		ENGINE(2, DRAINING, CHANGED, "k", 8, FALSE);
	world_t *world = world_make_();

	services_put_(world, 1, "model");
	CU_ASSERT_EQUAL(report_send_(world, 0, &engine), CB_SUBMIT_ANSWERED);
	CU_ASSERT_NOT_EQUAL(report_send_(world, 0, &incomplete),
			    CB_SUBMIT_ANSWERED);
	fleets_check_(world, "e model k 8 ready;");
	CU_ASSERT_FALSE(cb_view_is_stopped(world->clients[0].view,
					   CB_STOP_SERVER, "e/10"));
	CU_ASSERT_EQUAL(report_send_(world, 0, &draining), CB_SUBMIT_ANSWERED);
	CU_ASSERT_TRUE(cb_view_is_stopped(world->clients[0].view,
					  CB_STOP_SERVER, "e/10"));
	world_delete(world);
}

/*
 * A notice of leaving with another service than that of the server with its ID
 * stopped that server.
 */
static void notices_stop_servers_of_their_service(void)
{
	static const step_t sound = SOUND;
	static const step_t apart =
		REPORT("other", "a", "x:2", 30, 1, READY, APART);
	static const struct {
		gboolean
			has_apart; /* whether "other" has reported under the ID */
		const char *service;
		int64_t start_ms;
		gboolean is_accepted;
		gboolean is_stopped;
	} cases[] = {
		{ FALSE, NULL, -1, TRUE, TRUE },
		{ FALSE, NULL, 10, TRUE, TRUE },
		{ FALSE, "desk", -1, TRUE, TRUE },
		{ FALSE, "other", -1, FALSE, FALSE },
		{ FALSE, "other", 10, FALSE, FALSE },
		{ TRUE, "other", -1, TRUE, FALSE },
		{ TRUE, "other", 30, TRUE, FALSE },
		{ TRUE, "other", 10, FALSE, FALSE },
		{ TRUE, NULL, 30, TRUE, FALSE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t *world = world_make_();

		services_put_(world, 1, "desk");
		report_send_(world, 0, &sound);
		if (cases[i].has_apart)
			report_send_(world, 0, &apart);
		CU_ASSERT_EQUAL(leave_send_(world, 0, "a", cases[i].service,
					    cases[i].start_ms) ==
					CB_SUBMIT_ANSWERED,
				cases[i].is_accepted);
		CU_ASSERT_EQUAL(cb_view_is_stopped(world->clients[0].view,
						   CB_STOP_SERVER, "a/10"),
				cases[i].is_stopped);
		world_delete(world);
	}
}

/*
 * A server that reports its stop to a node which lacks the newest document is in use
 * elsewhere: its stop is acknowledged once it is committed, or not at all.
 */
static void stops_wait_for_the_newest_document(void)
{
	static const step_t fresh =
		REPORT("fresh", "b", "x:2", 20, 1, READY, APART);
	static const step_t draining =
		REPORT("fresh", "b", "x:2", 20, 2, DRAINING, APART);
	static const gboolean is_notice[] = { FALSE, TRUE };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(is_notice); i++) {
		world_t *world = world_make_();
		int leader = world_leader(world);
		size_t outdated = leader == 2 ? 1 : 2;
		cb_submit_outcome_t outcome;

		services_put_(world, 1, "desk");
		CU_ASSERT_EQUAL(report_send_(world, outdated, &fresh),
				CB_SUBMIT_ANSWERED);
		world_isolate(world, world->nodes[outdated].name, TRUE);
		services_put_(world, 2, "desk fresh");
		CU_ASSERT_EQUAL(report_send_(world, (size_t)leader, &fresh),
				CB_SUBMIT_ANSWERED);
		outcome = is_notice[i] ?
				  leave_send_(world, outdated, "b", NULL, -1) :
				  report_send_(world, outdated, &draining);
		CU_ASSERT_NOT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
		world_isolate(world, world->nodes[outdated].name, FALSE);
		world_run_until(world, NULL, 4 * SILENCE_MS / 3);
		CU_ASSERT_EQUAL(report_send_(world, outdated, &draining),
				CB_SUBMIT_ANSWERED);
		CU_ASSERT_TRUE(cb_view_is_stopped(world->clients[0].view,
						  CB_STOP_SERVER, "b/20"));
		world_delete(world);
	}
}

/* A stop of a server whose service is not configured holds when it becomes so. */
static void stopped_servers_of_later_services_stay_stopped(void)
{
	static const step_t fresh =
		REPORT("fresh", "b", "x:2", 20, 1, READY, APART);
	static const step_t draining =
		REPORT("fresh", "b", "x:2", 20, 2, DRAINING, APART);
	static const gboolean is_notice[] = { FALSE, TRUE };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(is_notice); i++) {
		world_t *world = world_make_();

		services_put_(world, 1, "desk");
		CU_ASSERT_EQUAL(report_send_(world, 0, &fresh),
				CB_SUBMIT_ANSWERED);
		CU_ASSERT_EQUAL(is_notice[i] ?
					leave_send_(world, 0, "b", NULL, -1) :
					report_send_(world, 0, &draining),
				CB_SUBMIT_ANSWERED);
		services_put_(world, 2, "desk fresh");
		fleets_check_(world, "b fresh draining;");
		world_delete(world);
	}
}

/* Returns the number of servers in the replicated state of the first node. */
static unsigned int records_count_(const world_t *world)
{
	const cb_state_t *state = cb_node_state(world->nodes[0].node);

	return cb_view_servers(cb_state_view(state))->len;
}

/*
 * The replicated state keeps no record of a server that nobody heard of for long,
 * whose service was not configured when the leader started.
 */
static void records_of_unconfigured_services_are_removed(void)
{
	static const step_t fresh =
		REPORT("fresh", "b", "x:2", 20, 1, READY, CHANGED);
	world_t *world = world_make_();
	size_t i;

	services_put_(world, 1, "desk fresh");
	CU_ASSERT_EQUAL(report_send_(world, 0, &fresh), CB_SUBMIT_ANSWERED);
	services_put_(world, 2, "desk");
	for (i = 0; i < world->node_count; i++)
		world_node_stop(world, i);
	for (i = 0; i < world->node_count; i++)
		world_node_start(world, i);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	world_run_until(world, NULL, PROPAGATION_MS);
	fleets_check_(world, "");
	CU_ASSERT_EQUAL(records_count_(world), 1);
	world_run_until(world, NULL, FORGOTTEN_MS);
	CU_ASSERT_EQUAL(records_count_(world), 0);
	world_delete(world);
}

static CU_TestInfo fleet_services_tests[] = {
	{ "reports_change_the_fleet_by_their_service",
	  reports_change_the_fleet_by_their_service },
	{ "stops_of_unknown_programs_are_not_committed",
	  stops_of_unknown_programs_are_not_committed },
	{ "incomplete_stops_of_engines_are_refused",
	  incomplete_stops_of_engines_are_refused },
	{ "notices_stop_servers_of_their_service",
	  notices_stop_servers_of_their_service },
	{ "stops_wait_for_the_newest_document",
	  stops_wait_for_the_newest_document },
	{ "stopped_servers_of_later_services_stay_stopped",
	  stopped_servers_of_later_services_stay_stopped },
	{ "records_of_unconfigured_services_are_removed",
	  records_of_unconfigured_services_are_removed },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "fleet_services",
				    .pTests = fleet_services_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
