#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

#include "currantbridge/front.h"
#include "private/front.h"
#include "private/stream.h"
#include "support_endless.h"
#include "support_world.h"

/* Limits of a test's wait in the main loop, and the number of servers. */
#define LOOP_ITERATIONS_MAX 4000
#define LOOP_SLEEP_US 500
#define SERVER_COUNT 3

/* What a server does with its connection after the text of its script. */
typedef enum relay_script_end {
	END_KEEP,
	END_CLOSE,
	END_RESET,
	END_HOLD, /* like END_KEEP, for an answer that is not complete */
	/* The server's process ends: all its connections are reset. */
	END_CRASH,
} relay_script_end_t;

/* A server's reaction to one request. */
typedef struct relay_script {
	const char *text; /* text that the server sends to the relay */
	relay_script_end_t end;
} relay_script_t;

/*
 * An entry instance, a control instance, backend servers and a caller in one
 * process, over real sockets and with a paused clock.
 */
typedef struct relay_fixture {
	world_t *world;
	cb_poller_t *poller; /* watches sockets of servers and caller */
	cb_http1_client_t *client;
	cb_front_t *front;
	/* NULL while the server's process has ended. */
	cb_stream_listener_t *listeners[SERVER_COUNT];
	uint16_t ports[SERVER_COUNT];
	GPtrArray *connections; /* elements: server_connection_t */
	/* The received requests as text, and the server index of each. */
	GPtrArray *requests;
	GArray *server_indexes;
	/* The server's connection of each request, in support_relay.c. */
	GPtrArray *request_connections;
	/* The reactions to requests, one for each request, in order. */
	const relay_script_t *scripts;
	unsigned int script_count;
	/* Whether the servers send their answers byte by byte. */
	gboolean sends_single_bytes;
	/*
	 * An answer without end, to all requests that have no script, except
	 * those for OTHER_PATH, which get a complete one; NULL: no answer.
	 */
	const char *endless_begin; /* sent before the units */
	const char *endless_unit;
	size_t endless_piece_bytes;
	uint64_t endless_sent_bytes;
	unsigned int endless_count; /* answers without end that were begun */
	/* Those whose connection the relay has closed. */
	unsigned int endless_closed_count;
	/* Connections that carried requests and that the relay has closed. */
	unsigned int ended_connection_count;
	/* Whether the last request was the first on its connection. */
	gboolean is_request_first;
	/* Engine calls: the addresses asked for a report, and the reroutes. */
	GPtrArray *report_addresses;
	GPtrArray *reroutes; /* request ID and servers of each new chain */
	/* The engine that is reported as lost, by its server index; or -1. */
	int lost_server;
	/* Whether it leaves its own report calls unanswered, or refuses them. */
	gboolean lost_server_is_silent;
	/* Whether the instance lacks the resources for calls for reports. */
	gboolean lacks_resources;
	/* Whether the engines leave calls for reports and reroutes unanswered. */
	gboolean withholds_reports;
	gboolean withholds_reroutes;
	/* Callers that are still connected, beside `caller`. */
	GPtrArray *other_callers;
	/* The caller's connection and what it received. */
	cb_stream_t *caller;
	GString *answer; /* bytes received by the caller */
	gboolean caller_ended;
} relay_fixture_t;

/* Starts everything; `has_document`: with a document in force. */
void support_relay_init(relay_fixture_t *fixture, gboolean has_document);
/*
 * Starts everything, with a document and with other instances that take forwarded
 * requests at a port of 127.0.0.1.
 */
void support_relay_init_with_peers(relay_fixture_t *fixture,
				   unsigned int peer_count, uint16_t peer_port);
/* Stops everything and frees what the fixture holds. */
void support_relay_clear(relay_fixture_t *fixture);
/* Announces a server's process to the control instance. */
void support_relay_server_announce(relay_fixture_t *fixture,
				   unsigned int server, int64_t start_wall_ms,
				   uint64_t sequence);
/* Announces that the first process of a server is told to stop. */
void support_relay_server_drain(relay_fixture_t *fixture, unsigned int server);
/*
 * Announces a server as an engine: server 0 holds the first layer, the others
 * the second one.
 */
void support_relay_engine_announce(relay_fixture_t *fixture,
				   unsigned int server);
/* Announces an engine that holds a range of layers. */
void support_relay_layers_announce(relay_fixture_t *fixture,
				   unsigned int server, uint64_t sequence,
				   uint32_t layer_from, uint32_t layer_to);
/*
 * Puts another document in force, which lacks what words of its text name: "one
 * layer" (of two), "no kinds" (of accelerators), "no model" (service "e" is a
 * plain one), "no engine route", "no service" ("e"), "no routes", "no workspaces",
 * "small limits".
 */
void support_relay_document_put(relay_fixture_t *fixture, int64_t version,
				const char *text);
/*
 * Starts a server again at its address whose process has ended, and announces
 * the new process.
 */
void support_relay_server_restart(relay_fixture_t *fixture, unsigned int server,
				  int64_t start_wall_ms);
/* Returns the address of a server; the caller frees it. */
char *support_relay_server_address(const relay_fixture_t *fixture,
				   unsigned int server);
/* Sends a request on a new connection of the caller. */
void support_relay_request_send(relay_fixture_t *fixture, const char *text);
/* Sends a request on a new connection of another instance, which forwards it. */
void support_relay_forwarded_send(relay_fixture_t *fixture, const char *text);
/*
 * Sends more of a server's answer to a request, which is given by its index in
 * `requests`.
 */
void support_relay_answer_continue(relay_fixture_t *fixture,
				   unsigned int request, const char *text);
/* Ends the process of the server that received a request, by its index. */
void support_relay_server_crash(relay_fixture_t *fixture, unsigned int request);
/* Resets the server's connection of a request, by its index in `requests`. */
void support_relay_server_reset(relay_fixture_t *fixture, unsigned int request);
/*
 * Advances the clock by `duration_ms` in small steps, and runs the main loop
 * after each of them.
 */
void support_relay_pass_time(relay_fixture_t *fixture, int64_t duration_ms);
/*
 * Runs the main loop until the answer contains `text` or, if that is NULL,
 * until servers have received `requests` requests; FALSE: it did not happen.
 */
gboolean support_relay_run_until(relay_fixture_t *fixture,
				 unsigned int requests, const char *text);
/*
 * Runs the main loop until the caller's answer has ended, one way or other.
 * Returns whether it is complete by its own framing, with its status and body.
 */
gboolean support_relay_answer_await(relay_fixture_t *fixture, uint32_t *status,
				    GString *body);
/* Checks that control has answered a change. */
void support_relay_accepted_check(cb_submit_outcome_t outcome,
				  const cb_answer_t *answer, void *user_data);

#define REQUEST(method, path, extra)                                             \
	method " " path                                                          \
	       " HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 2000\r\n" extra \
	       "\r\n"
#define COMPLETE_ANSWER \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 2\r\n\r\nok"
#define OTHER_PATH "/safe/other"
/* A stream of two events, for a request with ID 7, and its parts. */
#define STREAM_HEAD \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT_1 "id: 1\ndata: a\n\n"
#define EVENT_2 "id: 2\ndata: b\n\n"
#define FIRST_EVENT STREAM_HEAD "f\r\n" EVENT_1 "\r\n"
#define LAST_EVENT "f\r\n" EVENT_2 "\r\n0\r\n\r\n"
#define ENGINE_REQUEST REQUEST("POST", "/engine/", "Content-Length: 0\r\n")
/* The same of another caller, with another ID. */
#define OTHER_ENGINE_REQUEST                                                     \
	"POST /engine/ HTTP/1.1\r\nHost: h\r\nId: 8\r\nKey: k\r\nLeft: 2000\r\n" \
	"Content-Length: 0\r\n\r\n"
#define IDEMPOTENT_REQUEST REQUEST("GET", "/safe/a?b=%2f", "")
#define ONCE_REQUEST REQUEST("POST", "/once/a", "Content-Length: 3\r\n") "abc"

#endif
