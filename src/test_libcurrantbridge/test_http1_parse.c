#include "support_main.h"

#include <glib.h>
#include <string.h>

#include "private/event_splitter.h"
#include "private/http1_body.h"

#define MAX_BYTES 512

typedef struct request_case {
	const char *text;
	cb_http1_outcome_t outcome;
	cb_http1_framing_t framing;
	uint64_t length_bytes;
	gboolean keeps_alive;
} request_case_t;

static const request_case_t request_cases[] = {
	{ "GET /a/?b=%2F HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_WHOLE,
	  CB_HTTP1_FRAMING_NONE, 0, TRUE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n",
	  CB_HTTP1_WHOLE, CB_HTTP1_FRAMING_LENGTH, 12, TRUE },
	{ "POST / HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: Chunked\r\n\r\n",
	  CB_HTTP1_WHOLE, CB_HTTP1_FRAMING_CHUNKED, 0, TRUE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n",
	  CB_HTTP1_WHOLE, CB_HTTP1_FRAMING_NONE, 0, FALSE },
	{ "GET / HTTP/1.0\r\nHost: h\r\n\r\n", CB_HTTP1_WHOLE,
	  CB_HTTP1_FRAMING_NONE, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\n", CB_HTTP1_PARTIAL, 0, 0, FALSE },
	/* What two programs could read in two ways. */
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	  "Content-Length: 1\r\n\r\n",
	  CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked"
	  "\r\n\r\n",
	  CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n",
	  CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\n",
	  CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\n",
	  CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", CB_HTTP1_INVALID,
	  0, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\nA: b\r\n\r\n", CB_HTTP1_INVALID, 0, 0,
	  FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n", CB_HTTP1_INVALID, 0,
	  0, FALSE },
	{ "GET / HTTP/1.1\r\n\r\n", CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n", CB_HTTP1_INVALID, 0,
	  0, FALSE },
	{ "GET  / HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_INVALID, 0, 0, FALSE },
	{ "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_INVALID, 0, 0,
	  FALSE },
	{ "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_INVALID, 0, 0,
	  FALSE },
	{ "GET / HTTP/2\r\nHost: h\r\n\r\n", CB_HTTP1_INVALID, 0, 0, FALSE },
};

static void requests_are_read_strictly(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		const request_case_t *c = &request_cases[i];
		cb_http1_head_t head;
		size_t used = 0;
		cb_http1_outcome_t outcome =
			cb_http1_request_parse(&head, (const uint8_t *)c->text,
					       strlen(c->text), MAX_BYTES,
					       &used);

		CU_ASSERT_EQUAL(outcome, c->outcome);
		if (outcome != c->outcome)
			printf("    case %zu: outcome %d\n", i, (int)outcome);
		if (outcome != CB_HTTP1_WHOLE)
			continue;
		CU_ASSERT_EQUAL(used, strlen(c->text));
		CU_ASSERT_EQUAL(head.framing, c->framing);
		CU_ASSERT_EQUAL(head.length_bytes, c->length_bytes);
		CU_ASSERT_EQUAL(head.keeps_alive, c->keeps_alive);
		cb_http1_head_clear(&head);
	}
}

/* A zero byte, and a head over the limit, at each length up to it. */
static void bad_bytes_and_sizes_are_refused(void)
{
	static const char zero[] = "GET / HTTP/1.1\r\nHost: h\r\nA: \0\r\n\r\n";
	GString *text = g_string_new("GET / HTTP/1.1\r\nHost: h\r\nA: ");
	cb_http1_head_t head;
	size_t used;

	CU_ASSERT_EQUAL(cb_http1_request_parse(&head, (const uint8_t *)zero,
					       sizeof(zero) - 1, MAX_BYTES,
					       &used),
			CB_HTTP1_INVALID);
	while (text->len < MAX_BYTES) {
		g_string_append_c(text, 'x');
		CU_ASSERT_EQUAL(cb_http1_request_parse(
					&head, (const uint8_t *)text->str,
					text->len, MAX_BYTES, &used),
				text->len < MAX_BYTES ? CB_HTTP1_PARTIAL :
							CB_HTTP1_OVERSIZE);
	}
	g_string_free(text, TRUE);
}

typedef struct answer_case {
	const char *method;
	const char *text;
	cb_http1_outcome_t outcome;
	cb_http1_framing_t framing;
	gboolean keeps_alive;
} answer_case_t;

static const answer_case_t answer_cases[] = {
	{ "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", CB_HTTP1_WHOLE,
	  CB_HTTP1_FRAMING_LENGTH, TRUE },
	{ "GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", CB_HTTP1_WHOLE,
	  CB_HTTP1_FRAMING_NONE, TRUE },
	{ "GET", "HTTP/1.1 200 OK\r\n\r\n", CB_HTTP1_WHOLE,
	  CB_HTTP1_FRAMING_UNTIL_CLOSE, FALSE },
	{ "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
	  CB_HTTP1_WHOLE, CB_HTTP1_FRAMING_NONE, TRUE },
	{ "GET", "HTTP/1.1 204 No Content\r\n\r\n", CB_HTTP1_WHOLE,
	  CB_HTTP1_FRAMING_NONE, TRUE },
	{ "GET", "HTTP/1.1 2x0 OK\r\n\r\n", CB_HTTP1_INVALID, 0, FALSE },
	{ "GET", "HTTP/1.1 200OK\r\n\r\n", CB_HTTP1_INVALID, 0, FALSE },
	{ "GET", "garbage\r\n\r\n", CB_HTTP1_INVALID, 0, FALSE },
	{ "GET",
	  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
	  CB_HTTP1_INVALID, 0, FALSE },
};

static void answers_are_read_strictly(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		const answer_case_t *c = &answer_cases[i];
		cb_http1_head_t head;
		size_t used = 0;
		cb_http1_outcome_t outcome =
			cb_http1_answer_parse(&head, c->method,
					      (const uint8_t *)c->text,
					      strlen(c->text), MAX_BYTES,
					      &used);

		CU_ASSERT_EQUAL(outcome, c->outcome);
		if (outcome != CB_HTTP1_WHOLE)
			continue;
		CU_ASSERT_EQUAL(head.framing, c->framing);
		CU_ASSERT_EQUAL(head.keeps_alive, c->keeps_alive);
		cb_http1_head_clear(&head);
	}
}

typedef struct body_case {
	cb_http1_framing_t framing;
	uint64_t length_bytes;
	const char *text;
	cb_http1_outcome_t outcome;
	const char *body;
	const char *rest; /* bytes that do not belong to it */
} body_case_t;

static const body_case_t body_cases[] = {
	{ CB_HTTP1_FRAMING_LENGTH, 5, "helloGET", CB_HTTP1_WHOLE, "hello",
	  "GET" },
	{ CB_HTTP1_FRAMING_LENGTH, 5, "hel", CB_HTTP1_PARTIAL, "hel", "" },
	{ CB_HTTP1_FRAMING_UNTIL_CLOSE, 0, "hello", CB_HTTP1_PARTIAL, "hello",
	  "" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\nGET",
	  CB_HTTP1_WHOLE, "hello!", "GET" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5;a=b\r\nhello\r\n0\r\nT: v\r\n\r\n",
	  CB_HTTP1_WHOLE, "hello", "" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\r\nhello\r\n", CB_HTTP1_PARTIAL,
	  "hello", "" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\r\nhelloX\r\n", CB_HTTP1_INVALID,
	  NULL, NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "0x5\r\nhello\r\n", CB_HTTP1_INVALID,
	  NULL, NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5 \r\nhello\r\n", CB_HTTP1_INVALID,
	  NULL, NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "fffffffff\r\n", CB_HTTP1_INVALID, NULL,
	  NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\nhello\r\n", CB_HTTP1_INVALID, NULL,
	  NULL },
};

static void gather_(void *user_data, const uint8_t *data, size_t size)
{
	g_string_append_len(user_data, (const char *)data, (gssize)size);
}

/* Feeds a body in pieces of `step` bytes. */
static cb_http1_outcome_t body_feed_(const body_case_t *c, size_t step,
				     GString *got, size_t *taken)
{
	cb_http1_head_t head = { .framing = c->framing,
				 .length_bytes = c->length_bytes };
	cb_http1_outcome_t outcome = CB_HTTP1_PARTIAL;
	size_t size = strlen(c->text);
	cb_http1_body_t body;
	size_t used;

	cb_http1_body_init(&body, &head);
	*taken = 0;
	while (outcome == CB_HTTP1_PARTIAL && *taken < size) {
		outcome = cb_http1_body_read(&body,
					     (const uint8_t *)c->text + *taken,
					     MIN(step, size - *taken), &used,
					     gather_, got);
		*taken += used;
	}
	cb_http1_body_clear(&body);
	return outcome;
}

/* Every body, cut into pieces of each size. */
static void bodies_end_where_they_say(void)
{
	size_t step;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(body_cases); i++) {
		const body_case_t *c = &body_cases[i];

		for (step = 1; step <= strlen(c->text); step++) {
			GString *got = g_string_new(NULL);
			size_t taken;

			CU_ASSERT_EQUAL(body_feed_(c, step, got, &taken),
					c->outcome);
			if (c->outcome != CB_HTTP1_INVALID) {
				CU_ASSERT_STRING_EQUAL(got->str, c->body);
				CU_ASSERT_STRING_EQUAL(c->text + taken,
						       c->rest);
			}
			g_string_free(got, TRUE);
		}
	}
}

static void event_note_(void *user_data, int64_t id, const char *data,
			size_t size)
{
	g_string_append_printf(user_data, "[%d:%d]", (int)id, (int)size);
	(void)data;
}

/* Events are handed out whole, however they are cut on the way. */
static void events_are_cut_whole(void)
{
	static const struct {
		const char *text;
		const char *events;
		const char *rest;
	} cases[] = {
		{ "id: 1\ndata: a\n\nid:2\ndata: b\n\n", "[1:15][2:14]", "" },
		{ "data: a\n\n", "[-1:9]", "" },
		{ "id: 7\r\ndata: a\r\n\r\nid: 8\r\n", "[7:18]", "id: 8\r\n" },
		{ "id: 3\ndata: a\n", "", "id: 3\ndata: a\n" },
		{ "note: 2\nid: 4\ndata: id: 9\n\n", "[4:27]", "" },
		{ "id: x\n\n", "[-1:7]", "" },
	};
	size_t step;
	size_t i;
	size_t at;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t size = strlen(cases[i].text);

		for (step = 1; step <= size; step++) {
			GString *got = g_string_new(NULL);
			cb_event_splitter_t splitter;

			cb_event_splitter_init(&splitter);
			for (at = 0; at < size; at += step)
				cb_event_splitter_add(
					&splitter,
					(const uint8_t *)cases[i].text + at,
					MIN(step, size - at), event_note_, got);
			CU_ASSERT_STRING_EQUAL(got->str, cases[i].events);
			CU_ASSERT_STRING_EQUAL(splitter.partial->str,
					       cases[i].rest);
			cb_event_splitter_clear(&splitter);
			g_string_free(got, TRUE);
		}
	}
}

/* Bytes drawn or changed at random never crash, nor take more than given. */
static void random_bytes_are_survived(void)
{
	GRand *random = g_rand_new_with_seed(7);
	int round;

	for (round = 0; round < 20000; round++) {
		const request_case_t *c = &request_cases[g_rand_int_range(
			random, 0, G_N_ELEMENTS(request_cases))];
		GString *text = g_string_new(c->text);
		int changes = g_rand_int_range(random, 1, 6);
		cb_http1_head_t head;
		size_t used = 0;

		while (changes--)
			text->str[g_rand_int_range(random, 0, (int)text->len)] =
				(char)g_rand_int_range(random, 0, 256);
		if (cb_http1_request_parse(&head, (const uint8_t *)text->str,
					   text->len, MAX_BYTES,
					   &used) == CB_HTTP1_WHOLE) {
			CU_ASSERT_TRUE(used <= text->len);
			CU_ASSERT_PTR_NOT_NULL(
				cb_http1_head_find(&head, "Host"));
			cb_http1_head_clear(&head);
		}
		g_string_free(text, TRUE);
	}
	g_rand_free(random);
}

static CU_TestInfo http1_tests[] = {
	{ "requests_are_read_strictly", requests_are_read_strictly },
	{ "bad_bytes_and_sizes_are_refused", bad_bytes_and_sizes_are_refused },
	{ "answers_are_read_strictly", answers_are_read_strictly },
	{ "bodies_end_where_they_say", bodies_end_where_they_say },
	{ "events_are_cut_whole", events_are_cut_whole },
	{ "random_bytes_are_survived", random_bytes_are_survived },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "http1", .pTests = http1_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
