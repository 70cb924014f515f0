#include "support_main.h"

#include <glib.h>
#include <string.h>

#include "private/event_splitter.h"
#include "private/http1_body.h"

#define HEAD_MAX_BYTES 512

typedef struct request_case {
	const char *text;
	cb_http1_parse_result_t result;
	cb_http1_framing_t framing;
	uint64_t length_bytes;
	gboolean keeps_alive;
} request_case_t;

static const request_case_t request_cases[] = {
	{ "GET /a/?b=%2F HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_PARSE_COMPLETE,
	  CB_HTTP1_FRAMING_NONE, 0, TRUE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n",
	  CB_HTTP1_PARSE_COMPLETE, CB_HTTP1_FRAMING_LENGTH, 12, TRUE },
	{ "POST / HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: Chunked\r\n\r\n",
	  CB_HTTP1_PARSE_COMPLETE, CB_HTTP1_FRAMING_CHUNKED, 0, TRUE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n",
	  CB_HTTP1_PARSE_COMPLETE, CB_HTTP1_FRAMING_NONE, 0, FALSE },
	{ "GET / HTTP/1.0\r\nHost: h\r\n\r\n", CB_HTTP1_PARSE_COMPLETE,
	  CB_HTTP1_FRAMING_NONE, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\n", CB_HTTP1_PARSE_PARTIAL, 0, 0,
	  FALSE },
	/* Heads that two implementations could interpret differently. */
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	  "Content-Length: 1\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked"
	  "\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\nA: b\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0,
	  0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "GET / HTTP/1.1\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, 0, FALSE },
	{ "GET  / HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0, 0,
	  FALSE },
	{ "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0, 0,
	  FALSE },
	{ "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", CB_HTTP1_PARSE_INVALID,
	  0, 0, FALSE },
	{ "GET / HTTP/2\r\nHost: h\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0, 0,
	  FALSE },
};

/*
 * Guards against request smuggling: a request that two implementations could
 * interpret differently must be invalid.
 */
static void request_heads_are_parsed_strictly(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		const request_case_t *c = &request_cases[i];
		cb_http1_head_t head;
		size_t used = 0;
		cb_http1_parse_result_t result =
			cb_http1_request_parse(&head, (const uint8_t *)c->text,
					       strlen(c->text), HEAD_MAX_BYTES,
					       &used);

		CU_ASSERT_EQUAL(result, c->result);
		if (result != c->result)
			printf("    case %zu: result %d\n", i, (int)result);
		if (result != CB_HTTP1_PARSE_COMPLETE)
			continue;
		CU_ASSERT_EQUAL(used, strlen(c->text));
		CU_ASSERT_EQUAL(head.framing, c->framing);
		CU_ASSERT_EQUAL(head.length_bytes, c->length_bytes);
		CU_ASSERT_EQUAL(head.keeps_alive, c->keeps_alive);
		cb_http1_head_clear(&head);
	}
}

/*
 * Guards against accepting a zero byte, which would truncate a C string, and
 * against reading a head without end: it is oversize once the limit is reached.
 */
static void zero_byte_and_oversize_heads_are_rejected(void)
{
	static const char zero_byte_head[] =
		"GET / HTTP/1.1\r\nHost: h\r\nA: \0\r\n\r\n";
	GString *text = g_string_new("GET / HTTP/1.1\r\nHost: h\r\nA: ");
	cb_http1_head_t head;
	size_t used;

	CU_ASSERT_EQUAL(cb_http1_request_parse(&head,
					       (const uint8_t *)zero_byte_head,
					       sizeof(zero_byte_head) - 1,
					       HEAD_MAX_BYTES, &used),
			CB_HTTP1_PARSE_INVALID);
	while (text->len < HEAD_MAX_BYTES) {
		g_string_append_c(text, 'x');
		CU_ASSERT_EQUAL(cb_http1_request_parse(
					&head, (const uint8_t *)text->str,
					text->len, HEAD_MAX_BYTES, &used),
				text->len < HEAD_MAX_BYTES ?
					CB_HTTP1_PARSE_PARTIAL :
					CB_HTTP1_PARSE_OVERSIZE);
	}
	g_string_free(text, TRUE);
}

typedef struct answer_case {
	const char *method;
	const char *text;
	cb_http1_parse_result_t result;
	cb_http1_framing_t framing;
	gboolean keeps_alive;
} answer_case_t;

static const answer_case_t answer_cases[] = {
	{ "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
	  CB_HTTP1_PARSE_COMPLETE, CB_HTTP1_FRAMING_LENGTH, TRUE },
	{ "GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	  CB_HTTP1_PARSE_COMPLETE, CB_HTTP1_FRAMING_NONE, TRUE },
	{ "GET", "HTTP/1.1 200 OK\r\n\r\n", CB_HTTP1_PARSE_COMPLETE,
	  CB_HTTP1_FRAMING_UNTIL_CLOSE, FALSE },
	{ "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
	  CB_HTTP1_PARSE_COMPLETE, CB_HTTP1_FRAMING_NONE, TRUE },
	{ "GET", "HTTP/1.1 204 No Content\r\n\r\n", CB_HTTP1_PARSE_COMPLETE,
	  CB_HTTP1_FRAMING_NONE, TRUE },
	{ "GET", "HTTP/1.1 2x0 OK\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0, FALSE },
	{ "GET", "HTTP/1.1 200OK\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0, FALSE },
	{ "GET", "garbage\r\n\r\n", CB_HTTP1_PARSE_INVALID, 0, FALSE },
	{ "GET",
	  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
	  CB_HTTP1_PARSE_INVALID, 0, FALSE },
};

/* Guards against finding the wrong end of an answer's body. */
static void answer_heads_are_parsed_strictly(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		const answer_case_t *c = &answer_cases[i];
		cb_http1_head_t head;
		size_t used = 0;
		cb_http1_parse_result_t result =
			cb_http1_answer_parse(&head, c->method,
					      (const uint8_t *)c->text,
					      strlen(c->text), HEAD_MAX_BYTES,
					      &used);

		CU_ASSERT_EQUAL(result, c->result);
		if (result != CB_HTTP1_PARSE_COMPLETE)
			continue;
		CU_ASSERT_EQUAL(head.framing, c->framing);
		CU_ASSERT_EQUAL(head.keeps_alive, c->keeps_alive);
		cb_http1_head_clear(&head);
	}
}

/* Guards against an answer without the rest of its head that counts as whole. */
static void parts_of_answer_heads_are_incomplete(void)
{
	size_t i;
	size_t size;

	for (i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		const answer_case_t *c = &answer_cases[i];
		cb_http1_head_t head;
		size_t used = 0;

		if (c->result != CB_HTTP1_PARSE_COMPLETE)
			continue;
		for (size = 0; size < strlen(c->text); size++)
			CU_ASSERT_EQUAL(cb_http1_answer_parse(
						&head, c->method,
						(const uint8_t *)c->text, size,
						HEAD_MAX_BYTES, &used),
					CB_HTTP1_PARSE_PARTIAL);
	}
}

typedef struct body_case {
	cb_http1_framing_t framing;
	uint64_t length_bytes;
	const char *text;
	cb_http1_parse_result_t result;
	const char *body;
	const char *rest; /* input bytes after the end of the body */
} body_case_t;

static const body_case_t body_cases[] = {
	{ CB_HTTP1_FRAMING_LENGTH, 5, "helloGET", CB_HTTP1_PARSE_COMPLETE,
	  "hello", "GET" },
	{ CB_HTTP1_FRAMING_LENGTH, 5, "hel", CB_HTTP1_PARSE_PARTIAL, "hel",
	  "" },
	{ CB_HTTP1_FRAMING_UNTIL_CLOSE, 0, "hello", CB_HTTP1_PARSE_PARTIAL,
	  "hello", "" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\nGET",
	  CB_HTTP1_PARSE_COMPLETE, "hello!", "GET" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5;a=b\r\nhello\r\n0\r\nT: v\r\n\r\n",
	  CB_HTTP1_PARSE_COMPLETE, "hello", "" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\r\nhello\r\n", CB_HTTP1_PARSE_PARTIAL,
	  "hello", "" },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\r\nhelloX\r\n",
	  CB_HTTP1_PARSE_INVALID, NULL, NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "0x5\r\nhello\r\n",
	  CB_HTTP1_PARSE_INVALID, NULL, NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5 \r\nhello\r\n",
	  CB_HTTP1_PARSE_INVALID, NULL, NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "fffffffff\r\n", CB_HTTP1_PARSE_INVALID,
	  NULL, NULL },
	{ CB_HTTP1_FRAMING_CHUNKED, 0, "5\nhello\r\n", CB_HTTP1_PARSE_INVALID,
	  NULL, NULL },
};

/* Appends the data of a body to the GString in `user_data`. */
static void body_data_append_(void *user_data, const uint8_t *data, size_t size)
{
	g_string_append_len(user_data, (const char *)data, (gssize)size);
}

/*
 * Parses the body of a case in pieces of `piece_size` bytes.  Appends its data
 * to `received` and sets `used_total` to the number of bytes used.
 */
static cb_http1_parse_result_t body_parse_in_pieces_(const body_case_t *c,
						     size_t piece_size,
						     GString *received,
						     size_t *used_total)
{
	cb_http1_head_t head = { .framing = c->framing,
				 .length_bytes = c->length_bytes };
	cb_http1_parse_result_t result = CB_HTTP1_PARSE_PARTIAL;
	size_t size = strlen(c->text);
	cb_http1_body_t body;
	size_t used;

	cb_http1_body_init(&body, &head);
	*used_total = 0;
	while (result == CB_HTTP1_PARSE_PARTIAL && *used_total < size) {
		result = cb_http1_body_read(&body,
					    (const uint8_t *)c->text +
						    *used_total,
					    MIN(piece_size, size - *used_total),
					    &used, body_data_append_, received);
		*used_total += used;
	}
	cb_http1_body_clear(&body);
	return result;
}

/*
 * Guards against a parser that loses its state between reads, or uses bytes of
 * the next message: each body is received in pieces of every size.
 */
static void body_end_is_found_for_any_piece_size(void)
{
	size_t piece_size;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(body_cases); i++) {
		const body_case_t *c = &body_cases[i];

		for (piece_size = 1; piece_size <= strlen(c->text);
		     piece_size++) {
			GString *received = g_string_new(NULL);
			size_t used_total;

			CU_ASSERT_EQUAL(body_parse_in_pieces_(c, piece_size,
							      received,
							      &used_total),
					c->result);
			if (c->result != CB_HTTP1_PARSE_INVALID) {
				CU_ASSERT_STRING_EQUAL(received->str, c->body);
				CU_ASSERT_STRING_EQUAL(c->text + used_total,
						       c->rest);
			}
			g_string_free(received, TRUE);
		}
	}
}

/* Appends "[ID:SIZE]" of an event to the GString in `user_data`. */
static void event_record_(void *user_data, int64_t id, const char *data,
			  size_t size)
{
	g_string_append_printf(user_data, "[%d:%d]", (int)id, (int)size);
	(void)data;
}

/*
 * Guards against delivering incomplete or merged events when an event arrives
 * over several reads: each stream is received in pieces of every size.
 */
static void events_are_complete_for_any_piece_size(void)
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
	size_t piece_size;
	size_t i;
	size_t offset;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t size = strlen(cases[i].text);

		for (piece_size = 1; piece_size <= size; piece_size++) {
			GString *received = g_string_new(NULL);
			cb_event_splitter_t splitter;

			cb_event_splitter_init(&splitter);
			for (offset = 0; offset < size; offset += piece_size)
				cb_event_splitter_add(
					&splitter,
					(const uint8_t *)cases[i].text + offset,
					MIN(piece_size, size - offset),
					event_record_, received);
			CU_ASSERT_STRING_EQUAL(received->str, cases[i].events);
			CU_ASSERT_STRING_EQUAL(splitter.partial->str,
					       cases[i].rest);
			cb_event_splitter_clear(&splitter);
			g_string_free(received, TRUE);
		}
	}
}

/*
 * Guards against a crash, or using more bytes than given, when a request's head
 * is corrupted: random bytes are overwritten with random values.
 */
static void corrupted_request_heads_are_parsed_safely(void)
{
	GRand *random = g_rand_new_with_seed(7);
	int iteration;

	for (iteration = 0; iteration < 20000; iteration++) {
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
					   text->len, HEAD_MAX_BYTES,
					   &used) == CB_HTTP1_PARSE_COMPLETE) {
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
	{ "request_heads_are_parsed_strictly",
	  request_heads_are_parsed_strictly },
	{ "zero_byte_and_oversize_heads_are_rejected",
	  zero_byte_and_oversize_heads_are_rejected },
	{ "parts_of_answer_heads_are_incomplete",
	  parts_of_answer_heads_are_incomplete },
	{ "answer_heads_are_parsed_strictly",
	  answer_heads_are_parsed_strictly },
	{ "body_end_is_found_for_any_piece_size",
	  body_end_is_found_for_any_piece_size },
	{ "events_are_complete_for_any_piece_size",
	  events_are_complete_for_any_piece_size },
	{ "corrupted_request_heads_are_parsed_safely",
	  corrupted_request_heads_are_parsed_safely },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "http1", .pTests = http1_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
