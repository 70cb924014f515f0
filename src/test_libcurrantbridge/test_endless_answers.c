#include "support_main.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantbridge/program.h"
#include "private/http1_body.h"
#include "private/http_clients.h"
#include "support_endless.h"
#include "support_relay.h"

/*
 * Tests that each reader of servers' answers breaks off what never ends, within
 * bounds of bytes read and of memory, and that others are served meanwhile.
 */
#define KIB 1024
#define MIB (1024 * 1024)
/* Sockets hold this much at most of what a paced sender has sent. */
#define SOCKET_SLACK_BYTES (64 * KIB)
/* Bounds of what is read of an answer, beside its data. */
#define HEAD_MAX_BYTES (32 * KIB)
#define FRAMING_MAX_BYTES (64 * KIB)
#define TRAILERS_MAX_BYTES (32 * KIB)
/* Bounds of data that is not passed on as it comes. */
#define EVENT_MAX_BYTES (1 * MIB)
#define UNUSED_BODY_MAX_BYTES (1 * MIB)
/* What a request may add to the memory of its instance. */
#define REQUEST_MEMORY_MAX_BYTES (5 * MIB)
/* An answer of which more was read is taken for one that is never ended. */
#define ENDLESS_READ_BYTES (16 * MIB)
#define BUDGET_MS 2000
#define DRIP_COUNT 400
#define DRIP_MS 8 /* of the paused clock for each byte */
/* Real time after which a play of the relay, or of a client, is given up. */
#define RELAY_PLAY_LIMIT_S 20
#define CLIENT_PLAY_LIMIT_S 10
/* Iterations of the main loop for each millisecond of the paused clock. */
#define ITERATIONS_PER_MS 16
#define SLOW_READ_BYTES 512

typedef enum caller_pace {
	READS_ALL,
	READS_SLOWLY, /* SLOW_READ_BYTES in each iteration of the main loop */
} caller_pace_t;

static const char *const pace_names[] = { "read", "read slowly" };

/* A caller that reads at its own pace and keeps only the begin of the body. */
typedef struct paced_caller {
	int fd;
	caller_pace_t pace;
	GByteArray *input; /* bytes not parsed yet */
	gboolean has_head;
	cb_http1_head_t head;
	cb_http1_body_t reader;
	GString *body; /* its first bytes */
	uint64_t body_bytes;
	gboolean is_complete;
	gboolean has_ended;
} paced_caller_t;

static void caller_start_(paced_caller_t *caller, uint16_t port,
			  caller_pace_t pace, const char *request)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int buffer_bytes = 4096;

	*caller = (paced_caller_t){ .pace = pace };
	caller->input = g_byte_array_new();
	caller->body = g_string_new(NULL);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (pace == READS_SLOWLY)
		(void)setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF,
				 &buffer_bytes, sizeof(buffer_bytes));
	CU_ASSERT_EQUAL_FATAL(connect(caller->fd, (struct sockaddr *)&address,
				      sizeof(address)),
			      0);
	CU_ASSERT_EQUAL_FATAL(send(caller->fd, request, strlen(request), 0),
			      (ssize_t)strlen(request));
}

static void caller_clear_(paced_caller_t *caller)
{
	close(caller->fd);
	g_byte_array_unref(caller->input);
	g_string_free(caller->body, TRUE);
	if (caller->has_head) {
		cb_http1_body_clear(&caller->reader);
		cb_http1_head_clear(&caller->head);
	}
}

static void caller_body_append_(void *user_data, const uint8_t *data,
				size_t size)
{
	paced_caller_t *caller = user_data;

	caller->body_bytes += size;
	if (caller->body->len < KIB)
		g_string_append_len(caller->body, (const char *)data,
				    (gssize)size);
}

/* Parses what the caller has received, and drops it. */
static void caller_input_parse_(paced_caller_t *caller)
{
	size_t used = 0;

	if (!caller->has_head) {
		if (cb_http1_answer_parse(&caller->head, "POST",
					  caller->input->data,
					  caller->input->len, 64 * KIB,
					  &used) != CB_HTTP1_PARSE_COMPLETE)
			return;
		caller->has_head = TRUE;
		cb_http1_body_init(&caller->reader, &caller->head);
		g_byte_array_remove_range(caller->input, 0, (unsigned int)used);
	}
	caller->is_complete |=
		cb_http1_body_read(&caller->reader, caller->input->data,
				   caller->input->len, &used,
				   caller_body_append_,
				   caller) == CB_HTTP1_PARSE_COMPLETE;
	g_byte_array_set_size(caller->input, 0);
}

/* Reads what the caller's pace allows. */
static void caller_read_(paced_caller_t *caller)
{
	uint8_t buffer[ENDLESS_FLOOD_BYTES * 2];
	size_t size =
		caller->pace == READS_ALL ? sizeof(buffer) : SLOW_READ_BYTES;
	ssize_t count = recv(caller->fd, buffer, size, MSG_DONTWAIT);

	if (count > 0) {
		g_byte_array_append(caller->input, buffer, (unsigned int)count);
		caller_input_parse_(caller);
	} else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
		/* A close is the end of a body without a length. */
		if (!count && caller->has_head &&
		    caller->head.framing == CB_HTTP1_FRAMING_UNTIL_CLOSE)
			caller->is_complete = TRUE;
		caller->has_ended = TRUE;
	}
}

/* How a request whose answer never ends is ended. */
typedef enum endless_end {
	REFUSED_AT_BOUND, /* 502 "malformed", after a bounded part */
	CUT_AT_BOUND,	  /* the same, of an answer that has begun */
	CUT_AT_DEADLINE,  /* forwarded as it comes, until the time is over */
	CUT_AT_PACE,	  /* forwarded until the caller is too slow */
	/* 504, as nothing could be forwarded; 502 if found to be silent */
	TIMEOUT_AT_DEADLINE,
} endless_end_t;

static const char *const end_names[] = {
	"refused at a bound",	   "cut at a bound",
	"cut at the deadline",	   "cut as the caller is slow",
	"timeout at the deadline",
};

typedef struct relay_row {
	const char *request;
	const char *begin;
	const char *unit;
	size_t piece_bytes;
	caller_pace_t pace;
	endless_end_t expected_end;
	uint64_t max_read_bytes;	    /* of the answers of all attempts */
	const relay_script_t *first_script; /* of the first attempt; or NULL */
} relay_row_t;

typedef struct relay_play {
	unsigned int play_count;
	unsigned int failure_count;
} relay_play_t;

typedef struct relay_run {
	relay_fixture_t fixture;
	paced_caller_t caller;
	paced_caller_t other;
	gboolean has_other;
	uint64_t read_bytes;
	size_t heap_start_bytes;
	size_t heap_max_bytes;
	uint64_t iteration_count;
} relay_run_t;

/* Runs the main loop once, and lets the callers read. */
static void run_iterate_(relay_run_t *run)
{
	size_t heap_bytes;

	g_main_context_iteration(NULL, FALSE);
	if (++run->iteration_count % ITERATIONS_PER_MS == 0)
		cb_clock_advance(run->fixture.world->clock, 1);
	caller_read_(&run->caller);
	if (run->has_other && !run->other.has_ended && !run->other.is_complete)
		caller_read_(&run->other);
	heap_bytes = support_endless_heap_bytes();
	if (heap_bytes > run->heap_start_bytes)
		run->heap_max_bytes = MAX(run->heap_max_bytes,
					  heap_bytes - run->heap_start_bytes);
	run->read_bytes = run->fixture.endless_sent_bytes;
}

static gboolean run_is_over_(const relay_run_t *run)
{
	return run->caller.is_complete || run->caller.has_ended;
}

/* Runs until the request has ended or too much of its answer was read. */
static void run_until_bound_(relay_run_t *run, size_t piece_bytes)
{
	uint64_t max_bytes = piece_bytes == ENDLESS_DRIP_BYTES ?
				     DRIP_COUNT :
				     ENDLESS_READ_BYTES;
	int64_t end_us =
		g_get_monotonic_time() + RELAY_PLAY_LIMIT_S * G_USEC_PER_SEC;

	while (!run_is_over_(run) && run->read_bytes < max_bytes &&
	       g_get_monotonic_time() < end_us) {
		run_iterate_(run);
		if (!run->has_other && run->fixture.endless_count) {
			run->has_other = TRUE;
			caller_start_(&run->other,
				      (uint16_t)cb_front_port(
					      run->fixture.front),
				      READS_ALL,
				      REQUEST("GET", OTHER_PATH, ""));
		}
	}
}

/* Runs for a while of the paused clock, until the request has ended. */
static void run_for_ms_(relay_run_t *run, int64_t duration_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms && !run_is_over_(run);
	     passed_ms += DRIP_MS) {
		cb_clock_advance(run->fixture.world->clock, DRIP_MS);
		run_iterate_(run);
	}
}

/* Runs until the closed connections and the other request are seen. */
static void run_settle_(relay_run_t *run)
{
	int i;

	for (i = 0; i < 2000 && (run->fixture.endless_closed_count <
					 run->fixture.endless_count ||
				 (run->has_other && !run->other.is_complete));
	     i++) {
		run_iterate_(run);
		if (i > 200)
			g_usleep(LOOP_SLEEP_US);
	}
}

/* Returns whether the caller got what a row says. */
static gboolean caller_is_as_expected_(const paced_caller_t *caller,
				       endless_end_t end)
{
	switch (end) {
	case REFUSED_AT_BOUND:
		return caller->is_complete && caller->head.status == 502 &&
		       strstr(caller->body->str, "\"malformed\"") != NULL;
	case TIMEOUT_AT_DEADLINE:
		return caller->is_complete &&
		       (caller->head.status == 504 ?
				strstr(caller->body->str, "\"deadline\"") !=
					NULL :
				caller->head.status == 502 &&
					strstr(caller->body->str,
					       "\"silent\"") != NULL);
	default:
		return !caller->is_complete && caller->has_ended &&
		       caller->has_head;
	}
}

/* Plays one row; see relay_row_t. */
static void relay_row_play_(relay_play_t *play, const relay_row_t *row,
			    const char *kind, const char *name)
{
	gboolean is_at_deadline = row->expected_end == CUT_AT_DEADLINE ||
				  row->expected_end == TIMEOUT_AT_DEADLINE;
	relay_run_t run = { 0 };
	gboolean was_over;
	gboolean is_as_expected;

	support_relay_init(&run.fixture, TRUE);
	run.fixture.scripts = row->first_script;
	run.fixture.script_count = row->first_script != NULL;
	run.fixture.endless_begin = row->begin;
	run.fixture.endless_unit = row->unit;
	run.fixture.endless_piece_bytes = row->piece_bytes;
	run.heap_start_bytes = support_endless_heap_bytes();
	caller_start_(&run.caller, (uint16_t)cb_front_port(run.fixture.front),
		      row->pace, row->request);
	run_until_bound_(&run, row->piece_bytes);
	was_over = run_is_over_(&run);
	if (!was_over)
		run_for_ms_(&run, BUDGET_MS + 1000);
	run_settle_(&run);
	is_as_expected =
		was_over == !is_at_deadline &&
		caller_is_as_expected_(&run.caller, row->expected_end) &&
		run.fixture.endless_count &&
		run.fixture.endless_closed_count == run.fixture.endless_count &&
		(is_at_deadline || run.read_bytes <= row->max_read_bytes) &&
		run.heap_max_bytes <= REQUEST_MEMORY_MAX_BYTES &&
		run.has_other && run.other.is_complete &&
		run.other.head.status == 200;
	play->play_count++;
	if (!is_as_expected) {
		play->failure_count++;
		printf("    %s: %s, %s, %s: expected %s: %s by itself, status "
		       "%u, %s, %" G_GUINT64_FORMAT " KiB read, memory +%zu "
		       "KiB, %u of %u connections closed, another request %s\n",
		       kind, name, pace_names[row->pace],
		       row->piece_bytes == 1 ? "drips" : "floods",
		       end_names[row->expected_end],
		       was_over ? "ended" : "not ended",
		       run.caller.has_head ? run.caller.head.status : 0,
		       run.caller.is_complete ? "complete" : "not complete",
		       run.read_bytes / KIB, run.heap_max_bytes / KIB,
		       run.fixture.endless_closed_count,
		       run.fixture.endless_count,
		       run.has_other && run.other.is_complete ? "served" :
								"not served");
	}
	if (run.has_other)
		caller_clear_(&run.other);
	caller_clear_(&run.caller);
	support_relay_clear(&run.fixture);
}

/* A kind of request through the relay. */
typedef struct relay_kind {
	const char *name;
	const char *request;
	gboolean is_stream;
	unsigned int attempt_count; /* attempts at a server that fails */
} relay_kind_t;

static const relay_kind_t relay_kinds[] = {
	{ "plain call, once", ONCE_REQUEST, FALSE, 1 },
	{ "plain call, repeatable", IDEMPOTENT_REQUEST, FALSE, 2 },
	{ "stream, once",
	  REQUEST("POST", "/stream-once/", "Content-Length: 0\r\n"), TRUE, 1 },
	{ "stream, resumable",
	  REQUEST("POST", "/stream/", "Content-Length: 0\r\n"), TRUE, 2 },
};

#define RELAY_HEADERS "Id: 7\r\nSeal: x\r\n"

/* Returns how much may be read of one answer before it is broken off. */
static uint64_t attempt_max_bytes_(const endless_way_t *way)
{
	switch (way->part) {
	case ENDLESS_HEAD:
		return HEAD_MAX_BYTES;
	case ENDLESS_FRAMING:
		return FRAMING_MAX_BYTES;
	case ENDLESS_TRAILERS:
		return TRAILERS_MAX_BYTES;
	case ENDLESS_BODY:
		break;
	}
	/* The framing of small chunks comes to a third of their data. */
	return EVENT_MAX_BYTES * 3 / 2;
}

/* Plays a way against a kind of request and a caller's pace. */
static void relay_way_play_(relay_play_t *play, const endless_way_t *way,
			    const relay_kind_t *kind, caller_pace_t pace,
			    size_t piece_bytes)
{
	char *begin = support_endless_begin(way, "HTTP/1.1 200 OK\r\n",
					    RELAY_HEADERS);
	relay_row_t row = { .request = kind->request,
			    .begin = begin,
			    .unit = way->unit,
			    .piece_bytes = piece_bytes,
			    .pace = pace,
			    .expected_end = REFUSED_AT_BOUND };

	row.max_read_bytes = kind->attempt_count *
			     (attempt_max_bytes_(way) + SOCKET_SLACK_BYTES);
	if (piece_bytes == ENDLESS_DRIP_BYTES) {
		row.expected_end = TIMEOUT_AT_DEADLINE;
	} else if (way->part == ENDLESS_BODY && !kind->is_stream) {
		row.expected_end =
			pace == READS_ALL ? CUT_AT_DEADLINE : CUT_AT_PACE;
		row.max_read_bytes = ENDLESS_READ_BYTES;
	}
	relay_row_play_(play, &row, kind->name, way->name);
	g_free(begin);
}

static void play_end_(const relay_play_t *play)
{
	if (play->failure_count)
		printf("    wrong: %u of %u plays\n", play->failure_count,
		       play->play_count);
	CU_ASSERT_EQUAL(play->failure_count, 0);
}

static void relay_ways_play_(endless_part_t part)
{
	relay_play_t play = { 0 };
	size_t i;
	size_t j;

	for (i = 0; i < ENDLESS_WAY_COUNT; i++)
		for (j = 0; support_endless_ways[i].part == part &&
			    j < G_N_ELEMENTS(relay_kinds);
		     j++) {
			relay_way_play_(&play, &support_endless_ways[i],
					&relay_kinds[j], READS_ALL,
					ENDLESS_FLOOD_BYTES);
			relay_way_play_(&play, &support_endless_ways[i],
					&relay_kinds[j], READS_SLOWLY,
					ENDLESS_FLOOD_BYTES);
			relay_way_play_(&play, &support_endless_ways[i],
					&relay_kinds[j], READS_ALL,
					ENDLESS_DRIP_BYTES);
		}
	play_end_(&play);
}

/*
 * A head without end, with interim answers, must not be read until the time of
 * the request is over.
 */
static void endless_head_is_broken_off(void)
{
	relay_ways_play_(ENDLESS_HEAD);
}

/* Lines between chunks must not make up most of what is read. */
static void endless_chunk_lines_are_broken_off(void)
{
	relay_ways_play_(ENDLESS_FRAMING);
}

static void endless_trailers_are_broken_off(void)
{
	relay_ways_play_(ENDLESS_TRAILERS);
}

/*
 * A body without end is forwarded in bounded memory until the time is over, and
 * one that is no event is broken off.
 */
static void endless_body_is_bounded(void)
{
	relay_ways_play_(ENDLESS_BODY);
}

#define ANSWER(status, headers) \
	"HTTP/1.1 " status " X\r\nSeal: x\r\n" headers "\r\n"
#define STREAM_BEGIN ANSWER("200", "Id: 7\r\n")

typedef struct relay_content_case {
	const char *description;
	const char *begin;
	const char *unit;
	unsigned int kind; /* index in `relay_kinds` */
	const relay_script_t *first_script;
	endless_end_t expected_end;
	endless_end_t expected_slow_end;
	uint64_t max_read_bytes;
} relay_content_case_t;

static const relay_script_t event_then_reset = { STREAM_BEGIN EVENT_1,
						 END_RESET };

static const relay_content_case_t relay_content_cases[] = {
	{ "answer to another request", ANSWER("200", "Id: 8\r\n"), "a", 0, NULL,
	  REFUSED_AT_BOUND, REFUSED_AT_BOUND, HEAD_MAX_BYTES },
	{ "refusal without proof", ANSWER("503", "Id: 7\r\n"), "a", 0, NULL,
	  REFUSED_AT_BOUND, REFUSED_AT_BOUND, UNUSED_BODY_MAX_BYTES },
	{ "refusal without proof, repeated", ANSWER("503", "Id: 7\r\n"), "a", 1,
	  NULL, REFUSED_AT_BOUND, REFUSED_AT_BOUND, 2 * UNUSED_BODY_MAX_BYTES },
	{ "rejection", ANSWER("503", "Id: 7\r\nNot-Run: 1\r\n"), "a", 0, NULL,
	  REFUSED_AT_BOUND, REFUSED_AT_BOUND, UNUSED_BODY_MAX_BYTES },
	{ "rejection of a stream", ANSWER("503", "Id: 7\r\nNot-Run: 1\r\n"),
	  "a", 2, NULL, REFUSED_AT_BOUND, REFUSED_AT_BOUND,
	  UNUSED_BODY_MAX_BYTES },
	{ "error of a server", ANSWER("500", "Id: 7\r\n"), "a", 0, NULL,
	  CUT_AT_DEADLINE, CUT_AT_PACE, ENDLESS_READ_BYTES },
	{ "error where a stream should go on", ANSWER("500", "Id: 7\r\n"), "a",
	  3, &event_then_reset, CUT_AT_BOUND, CUT_AT_BOUND,
	  UNUSED_BODY_MAX_BYTES },
	{ "event where a stream should go on", STREAM_BEGIN, "a", 3,
	  &event_then_reset, CUT_AT_BOUND, CUT_AT_BOUND, EVENT_MAX_BYTES },
	{ "event of many lines", STREAM_BEGIN, "data: a\n", 2, NULL,
	  REFUSED_AT_BOUND, REFUSED_AT_BOUND, EVENT_MAX_BYTES },
	{ "events that come again", STREAM_BEGIN, EVENT_1, 3, &event_then_reset,
	  CUT_AT_DEADLINE, CUT_AT_DEADLINE, 0 },
	{ "events", STREAM_BEGIN, "data: a\n\n", 2, NULL, CUT_AT_DEADLINE,
	  CUT_AT_PACE, ENDLESS_READ_BYTES },
	{ "comments", STREAM_BEGIN, ":\n\n", 2, NULL, CUT_AT_DEADLINE,
	  CUT_AT_PACE, ENDLESS_READ_BYTES },
	{ "empty lines", STREAM_BEGIN, "\n", 2, NULL, CUT_AT_DEADLINE,
	  CUT_AT_PACE, ENDLESS_READ_BYTES },
};

/*
 * Bodies without end whose head decides that they are not forwarded, or not as
 * they are.
 */
static void endless_body_of_no_use_is_broken_off(void)
{
	relay_play_t play = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(relay_content_cases); i++) {
		const relay_content_case_t *c = &relay_content_cases[i];
		const relay_kind_t *kind = &relay_kinds[c->kind];
		relay_row_t row = { .request = kind->request,
				    .begin = c->begin,
				    .unit = c->unit,
				    .piece_bytes = ENDLESS_FLOOD_BYTES,
				    .pace = READS_ALL,
				    .expected_end = c->expected_end,
				    .first_script = c->first_script };

		row.max_read_bytes = c->max_read_bytes +
				     kind->attempt_count * SOCKET_SLACK_BYTES;
		relay_row_play_(&play, &row, kind->name, c->description);
		row.pace = READS_SLOWLY;
		row.expected_end = c->expected_slow_end;
		relay_row_play_(&play, &row, kind->name, c->description);
	}
	play_end_(&play);
}

#define HTTP_1_0_REQUEST                                          \
	"POST /once/a HTTP/1.0\r\nHost: h\r\nId: 7\r\nKey: k\r\n" \
	"Left: 2000\r\nContent-Length: 3\r\n\r\nabc"

/*
 * To an HTTP/1.0 caller a close is the end of an answer: one that is cut since
 * the caller is slow, or at the deadline, must be reset.
 */
static void cut_answer_to_http_1_0_caller_is_reset(void)
{
	static const relay_kind_t kind = { "plain call of HTTP/1.0, once",
					   HTTP_1_0_REQUEST, FALSE, 1 };
	relay_play_t play = { 0 };
	size_t i;

	for (i = 0; i < ENDLESS_WAY_COUNT; i++) {
		if (support_endless_ways[i].part != ENDLESS_BODY)
			continue;
		relay_way_play_(&play, &support_endless_ways[i], &kind,
				READS_ALL, ENDLESS_FLOOD_BYTES);
		relay_way_play_(&play, &support_endless_ways[i], &kind,
				READS_SLOWLY, ENDLESS_FLOOD_BYTES);
	}
	play_end_(&play);
}

#define LARGE_BODY_CHUNKS 48
#define LARGE_CHUNK_BYTES (64 * KIB)
#define LARGE_EVENT_BYTES (900 * KIB)
#define SOUND_INTERIM_ANSWERS 20
#define SOUND_TRAILERS 50

/* Returns a large sound answer that uses every part that is bounded. */
static GString *sound_answer_format_(gboolean is_stream)
{
	GString *text = g_string_new(NULL);
	size_t chunk_bytes = is_stream ? LARGE_EVENT_BYTES : LARGE_CHUNK_BYTES;
	int count = is_stream ? 1 : LARGE_BODY_CHUNKS;
	char *chunk = g_strnfill(chunk_bytes, 'a');
	int i;

	for (i = 0; i < SOUND_INTERIM_ANSWERS; i++)
		g_string_append(text,
				"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
	g_string_append(text, "HTTP/1.1 200 OK\r\n" RELAY_HEADERS
			      "Transfer-Encoding: chunked\r\n\r\n");
	if (is_stream)
		chunk[chunk_bytes - 2] = chunk[chunk_bytes - 1] = '\n';
	for (i = 0; i < count; i++)
		g_string_append_printf(text, "%zx;signature=%064d\r\n%s\r\n",
				       chunk_bytes, i, chunk);
	g_string_append(text, "0\r\n");
	for (i = 0; i < SOUND_TRAILERS; i++)
		g_string_append_printf(text, "Trailer-%d: value\r\n", i);
	g_string_append(text, "\r\n");
	g_free(chunk);
	return text;
}

/* The bounds must not break off a large answer of a sound server. */
static void large_sound_answer_is_whole(void)
{
	gboolean is_stream;

	for (is_stream = FALSE; is_stream <= TRUE; is_stream++) {
		GString *text = sound_answer_format_(is_stream);
		const relay_script_t script = { text->str, END_KEEP };
		relay_run_t run = { 0 };

		support_relay_init(&run.fixture, TRUE);
		run.fixture.scripts = &script;
		run.fixture.script_count = 1;
		caller_start_(&run.caller,
			      (uint16_t)cb_front_port(run.fixture.front),
			      READS_ALL,
			      relay_kinds[is_stream ? 2 : 0].request);
		run_until_bound_(&run, ENDLESS_FLOOD_BYTES);
		CU_ASSERT_TRUE(run.caller.is_complete);
		CU_ASSERT_EQUAL(run.caller.body_bytes,
				is_stream ?
					LARGE_EVENT_BYTES :
					LARGE_BODY_CHUNKS * LARGE_CHUNK_BYTES);
		CU_ASSERT_EQUAL(run.fixture.requests->len, 1);
		caller_clear_(&run.caller);
		support_relay_clear(&run.fixture);
		g_string_free(text, TRUE);
	}
}

/* What a client of backend servers has reported. */
typedef struct client_record {
	int done_count;
	cb_failure_t failure;
} client_record_t;

static void service_end_record_(void *user_data, cb_failure_t failure,
				const cb_service_answer_t *answer)
{
	client_record_t *record = user_data;

	(void)answer;
	record->done_count++;
	record->failure = failure;
}

static void engine_end_record_(void *user_data, cb_failure_t failure)
{
	service_end_record_(user_data, failure, NULL);
}

static void token_ignore_(void *user_data, const cb_engine_token_t *token)
{
	(void)user_data;
	(void)token;
}

/* A reader of answers outside the relay, and the bounds of its answers. */
typedef struct client_kind {
	const char *name;
	uint64_t max_body_bytes;
	size_t max_heap_bytes;
	/* Plays the answer of `server`; sets what was reported. */
	void (*play)(endless_server_t *server, client_record_t *record,
		     size_t *heap_bytes);
} client_kind_t;

#define ANSWER_MAX_BYTES ((uint64_t)64 * MIB)
#define LINE_MAX_BYTES (1 * MIB)

/* Runs until the exchange has ended or much more than its bound was sent. */
static void client_run_(endless_server_t *server, const client_record_t *record,
			size_t *heap_bytes)
{
	size_t heap_start_bytes = support_endless_heap_bytes();
	int64_t end_us =
		g_get_monotonic_time() + CLIENT_PLAY_LIMIT_S * G_USEC_PER_SEC;

	while (!record->done_count &&
	       server->sent_bytes < ANSWER_MAX_BYTES * 3 / 2 &&
	       g_get_monotonic_time() < end_us) {
		size_t now_bytes;

		g_main_context_iteration(NULL, FALSE);
		now_bytes = support_endless_heap_bytes();
		if (now_bytes > heap_start_bytes)
			*heap_bytes =
				MAX(*heap_bytes, now_bytes - heap_start_bytes);
	}
	end_us = g_get_monotonic_time() + G_USEC_PER_SEC;
	while (record->done_count &&
	       server->closed_count < server->connection_count &&
	       g_get_monotonic_time() < end_us)
		g_main_context_iteration(NULL, FALSE);
}

static void service_answer_play_(endless_server_t *server,
				 client_record_t *record, size_t *heap_bytes)
{
	cb_clock_t *clock = cb_clock_new(NULL);
	cb_service_client_t *client = cb_http_service_client_new(NULL, clock);
	cb_server_t target = { .address = server->address };
	cb_service_request_t request = { .request = "r",
					 .method = "POST",
					 .path = "/x" };
	cb_service_listener_t listener = { service_end_record_, record };

	client->vtable->send(client, &target, &request, &listener);
	client_run_(server, record, heap_bytes);
	cb_http_service_client_delete(client);
	cb_clock_delete(clock);
}

static void engine_stream_play_(endless_server_t *server,
				client_record_t *record, size_t *heap_bytes)
{
	cb_clock_t *clock = cb_clock_new(NULL);
	cb_engine_client_t *client =
		cb_http_engine_client_new(NULL, clock, NULL);
	cb_server_t target = { .address = server->address };
	cb_engine_order_t order = { .request = "r",
				    .epoch = 2,
				    .model = "m",
				    .prompt = "p",
				    .max_tokens = 5 };
	cb_engine_listener_t listener = { token_ignore_, engine_end_record_,
					  record };

	client->vtable->stream(client, &target, &order, &listener);
	client_run_(server, record, heap_bytes);
	cb_http_engine_client_delete(client);
	cb_clock_delete(clock);
}

static void engine_step_play_(endless_server_t *server, client_record_t *record,
			      size_t *heap_bytes)
{
	cb_clock_t *clock = cb_clock_new(NULL);
	cb_engine_client_t *client =
		cb_http_engine_client_new(NULL, clock, NULL);
	cb_server_t target = { .address = server->address };
	cb_engine_step_t step = { .request = "r", .epoch = 2, .token = 3 };
	cb_engine_listener_t listener = { token_ignore_, engine_end_record_,
					  record };

	client->vtable->step(client, &target, &step, &listener);
	client_run_(server, record, heap_bytes);
	cb_http_engine_client_delete(client);
	cb_clock_delete(clock);
}

/* Memory of an array that is doubled when it grows, and is copied then. */
#define ANSWER_HEAP_MAX_BYTES (3 * ANSWER_MAX_BYTES)

static const client_kind_t service_kind = { "call of a plain service",
					    ANSWER_MAX_BYTES,
					    ANSWER_HEAP_MAX_BYTES,
					    service_answer_play_ };
static const client_kind_t engine_stream_kind = { "engine stream",
						  LINE_MAX_BYTES,
						  REQUEST_MEMORY_MAX_BYTES,
						  engine_stream_play_ };
static const client_kind_t engine_step_kind = { "engine step", ANSWER_MAX_BYTES,
						ANSWER_HEAP_MAX_BYTES,
						engine_step_play_ };

/* Bytes that the engines' client reads ahead, and its limit of a head. */
#define CLIENT_SLACK_BYTES (256 * KIB)

/* Plays one answer against a client; `max_bytes` bounds what is read. */
static void client_row_play_(relay_play_t *play, const client_kind_t *kind,
			     const char *name, char *begin, const char *unit,
			     uint64_t max_bytes, size_t max_heap_bytes)
{
	client_record_t record = { 0 };
	size_t heap_bytes = 0;
	endless_server_t server;

	support_endless_server_init(&server, begin, unit, ENDLESS_FLOOD_BYTES);
	kind->play(&server, &record, &heap_bytes);
	play->play_count++;
	if (record.done_count != 1 || server.connection_count != 1 ||
	    server.closed_count != 1 ||
	    (record.failure != CB_FAILURE_MISMATCH &&
	     record.failure != CB_FAILURE_LOST) ||
	    server.sent_bytes > max_bytes + CLIENT_SLACK_BYTES ||
	    heap_bytes > max_heap_bytes) {
		play->failure_count++;
		printf("    %s: %s: ended %d times, failure %d, %" G_GUINT64_FORMAT
		       " KiB read, memory +%zu KiB, %u of %u connections "
		       "closed\n",
		       kind->name, name, record.done_count, (int)record.failure,
		       server.sent_bytes / KIB, heap_bytes / KIB,
		       server.closed_count, server.connection_count);
	}
	support_endless_server_clear(&server);
}

/* Plays all ways, and a body without end of an error, against a client. */
static void client_ways_play_(const client_kind_t *kind)
{
	static const char headers[] = "Content-Type: text/plain\r\n";
	relay_play_t play = { 0 };
	size_t i;

	for (i = 0; i < ENDLESS_WAY_COUNT; i++) {
		const endless_way_t *way = &support_endless_ways[i];
		gboolean is_body = way->part == ENDLESS_BODY;

		client_row_play_(&play, kind, way->name,
				 support_endless_begin(way,
						       "HTTP/1.1 200 OK\r\n",
						       headers),
				 way->unit,
				 is_body ? kind->max_body_bytes * 3 / 2 :
					   attempt_max_bytes_(way),
				 is_body ? kind->max_heap_bytes :
					   REQUEST_MEMORY_MAX_BYTES);
	}
	client_row_play_(&play, kind, "body of an error",
			 g_strdup("HTTP/1.1 500 No\r\n\r\n"), "a",
			 ANSWER_MAX_BYTES, ANSWER_HEAP_MAX_BYTES);
	client_row_play_(&play, kind, "empty lines",
			 g_strdup("HTTP/1.1 200 OK\r\n\r\n"), "\n",
			 kind->max_body_bytes, kind->max_heap_bytes);
	play_end_(&play);
}

/* An endless answer of a plain service must end its call by itself. */
static void endless_service_answer_is_broken_off(void)
{
	client_ways_play_(&service_kind);
}

static void endless_engine_stream_is_broken_off(void)
{
	client_ways_play_(&engine_stream_kind);
}

static void endless_engine_step_is_broken_off(void)
{
	client_ways_play_(&engine_step_kind);
}

#define QUEUED_MIN_BYTES (512 * KIB)
#define LAGGING_READ_BYTES (16 * KIB)
#define QUEUED_TOTAL_BYTES (64 * MIB)

static void input_ignore_(void *user_data, const uint8_t *data, size_t size)
{
	(void)user_data;
	(void)data;
	(void)size;
}

static void end_ignore_(void *user_data, cb_stream_end_t end)
{
	(void)user_data;
	(void)end;
}

/*
 * The queue of a stream whose peer always lags a little must not keep the bytes
 * that were sent: an answer without end would fill the memory.
 */
static void queue_of_lagging_reader_does_not_grow(void)
{
	static const cb_stream_handler_t handler = { .received = input_ignore_,
						     .ended = end_ignore_ };
	static uint8_t buffer[MIB];
	cb_poller_t *poller = cb_poller_new(NULL);
	size_t heap_start_bytes;
	size_t heap_max_bytes = 0;
	uint64_t sent_bytes = 0;
	cb_stream_t *stream;
	int sockets[2];

	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK,
					 0, sockets),
			      0);
	stream = cb_stream_new(poller, sockets[0], &handler, NULL);
	heap_start_bytes = support_endless_heap_bytes();
	while (sent_bytes < QUEUED_TOTAL_BYTES) {
		size_t heap_bytes;

		while (cb_stream_unsent_bytes(stream) < QUEUED_MIN_BYTES) {
			cb_stream_send(stream, buffer, ENDLESS_FLOOD_BYTES);
			sent_bytes += ENDLESS_FLOOD_BYTES;
		}
		/* Less than is queued: the queue never becomes empty. */
		CU_ASSERT_TRUE_FATAL(
			read(sockets[1], buffer, QUEUED_MIN_BYTES / 4) > 0);
		g_main_context_iteration(NULL, FALSE);
		heap_bytes = support_endless_heap_bytes();
		if (heap_bytes > heap_start_bytes)
			heap_max_bytes = MAX(heap_max_bytes,
					     heap_bytes - heap_start_bytes);
	}
	CU_ASSERT_TRUE(heap_max_bytes <= 4 * (size_t)MIB);
	if (heap_max_bytes > 4 * (size_t)MIB)
		printf("    memory +%zu KiB after %u MiB\n",
		       heap_max_bytes / KIB, QUEUED_TOTAL_BYTES / MIB);
	cb_stream_delete(stream);
	close(sockets[1]);
	cb_poller_delete(poller);
}

static CU_TestInfo endless_answers_tests[] = {
	{ "endless_head_is_broken_off", endless_head_is_broken_off },
	{ "endless_chunk_lines_are_broken_off",
	  endless_chunk_lines_are_broken_off },
	{ "endless_trailers_are_broken_off", endless_trailers_are_broken_off },
	{ "endless_body_is_bounded", endless_body_is_bounded },
	{ "endless_body_of_no_use_is_broken_off",
	  endless_body_of_no_use_is_broken_off },
	{ "cut_answer_to_http_1_0_caller_is_reset",
	  cut_answer_to_http_1_0_caller_is_reset },
	{ "large_sound_answer_is_whole", large_sound_answer_is_whole },
	{ "endless_service_answer_is_broken_off",
	  endless_service_answer_is_broken_off },
	{ "endless_engine_stream_is_broken_off",
	  endless_engine_stream_is_broken_off },
	{ "endless_engine_step_is_broken_off",
	  endless_engine_step_is_broken_off },
	{ "queue_of_lagging_reader_does_not_grow",
	  queue_of_lagging_reader_does_not_grow },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "endless_answers",
				    .pTests = endless_answers_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	return support_run(suites);
}
