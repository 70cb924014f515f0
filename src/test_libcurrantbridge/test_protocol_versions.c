#include <string.h>

#include "private/link_message.h"
#include "private/usage.h"
#include "support_main.h"

/* Messages as builds of each protocol version encode them. */
typedef struct version_case {
	uint64_t protocol;
	const char *hello;
	size_t hello_bytes;
	const char *usage;
	size_t usage_bytes;
	/* What the usage tells. */
	cb_usage_load_t load;	/* of server "a" */
	cb_usage_sends_t sends; /* to service "s" */
	double flow_tokens;	/* of rank 1 and workspace "w"; 0: no flow */
} version_case_t;

/* The initialisers of a pointer and a size for a string literal. */
#define BYTES(literal) literal, sizeof(literal) - 1

static const version_case_t cases[] = {
	{ 2,
	  BYTES("\x97\x00\x00\x00\x00\xc0\xc0\xc4\x16\x98\x02\x01\xa1\x65\xab"
		"\x31\x32\x37\x2e\x30\x2e\x30\x2e\x31\x3a\x31\xa1\x7a\x07\x09"
		"\xc2"),
	  BYTES("\x92\x91\x97\xa1\x61\x02\xcd\x05\xdc\x01\x02\xcd\x0d\xac\x00"
		"\x91\x93\xa1\x73\x0a\x03"),
	  { 2, 1500, 1, 2, 3500, 0, 0, 0, 0, 0 },
	  { 10, 3, 0, 0 },
	  0 },
	{ 3,
	  BYTES("\x97\x00\x00\x00\x00\xc0\xc0\xc4\x16\x98\x03\x01\xa1\x65\xab"
		"\x31\x32\x37\x2e\x30\x2e\x30\x2e\x31\x3a\x31\xa1\x7a\x07\x09"
		"\xc2"),
	  BYTES("\x93\x91\x9b\xa1\x61\x02\xcd\x05\xdc\x01\x02\xcd\x0d\xac\x00"
		"\x05\xcd\x02\x58\x01\x46\x91\x95\xa1\x73\x0a\x03\x28\x07\x91"
		"\x94\xa1\x73\x01\xa1\x77\xcd\x02\xbc"),
	  { 2, 1500, 1, 2, 3500, 0, 5, 600, 1, 70 },
	  { 10, 3, 40, 7 },
	  700 },
};

static gboolean bytes_are_(GBytes *bytes, const char *expected, size_t size)
{
	return g_bytes_get_size(bytes) == size &&
	       !memcmp(g_bytes_get_data(bytes, NULL), expected, size);
}

static void hellos_of_each_version_are_read(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_link_message_t *message =
			cb_link_message_decode((const uint8_t *)cases[i].hello,
					       cases[i].hello_bytes);
		cb_hello_t hello = { 0 };

		g_assert(message);
		CU_ASSERT_EQUAL(message->kind, CB_LINK_MESSAGE_HELLO);
		CU_ASSERT_TRUE(cb_hello_decode(message->body, &hello));
		CU_ASSERT_EQUAL(hello.protocol, cases[i].protocol);
		CU_ASSERT_EQUAL(hello.role, CB_ROLE_ENTRY);
		CU_ASSERT_STRING_EQUAL(hello.name, "e");
		CU_ASSERT_STRING_EQUAL(hello.address, "127.0.0.1:1");
		CU_ASSERT_EQUAL(hello.incarnation, 7);
		CU_ASSERT_EQUAL(hello.revision, 9);
		cb_hello_clear(&hello);
		cb_link_message_delete(message);
	}
}

static void hellos_are_written_as_each_version_reads_them(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const cb_hello_t hello = { .protocol = cases[i].protocol,
					   .role = CB_ROLE_ENTRY,
					   .name = (char *)"e",
					   .address = (char *)"127.0.0.1:1",
					   .data_centre = (char *)"z",
					   .incarnation = 7,
					   .revision = 9 };
		cb_link_message_t message = { .kind = CB_LINK_MESSAGE_HELLO,
					      .body = cb_hello_encode(&hello) };
		GBytes *bytes = cb_link_message_encode(&message);

		CU_ASSERT_TRUE(bytes_are_(bytes, cases[i].hello,
					  cases[i].hello_bytes));
		g_bytes_unref(bytes);
		g_bytes_unref(message.body);
	}
}

static void usages_of_each_version_are_read(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const version_case_t *row = &cases[i];
		GBytes *bytes =
			g_bytes_new_static(row->usage, row->usage_bytes);
		cb_usage_t *usage = cb_usage_decode(bytes);
		char *key = cb_usage_flow_key("s", 1, "w");
		const cb_usage_flow_t *flow;
		cb_usage_load_t load;
		cb_usage_sends_t sends;

		g_assert(usage);
		load = cb_usage_find_load(usage, "a");
		sends = cb_usage_find_sends(usage, "s");
		flow = g_hash_table_lookup(usage->by_flow, key);
		CU_ASSERT_EQUAL(load.running, row->load.running);
		CU_ASSERT_EQUAL(load.token_layers, row->load.token_layers);
		CU_ASSERT_EQUAL(load.suspecting_instances,
				row->load.suspecting_instances);
		CU_ASSERT_EQUAL(load.limiting_instances,
				row->load.limiting_instances);
		CU_ASSERT_EQUAL(load.limit_per_ks, row->load.limit_per_ks);
		CU_ASSERT_EQUAL(load.answers, row->load.answers);
		CU_ASSERT_EQUAL(load.answer_percent, row->load.answer_percent);
		CU_ASSERT_EQUAL(load.failures, row->load.failures);
		CU_ASSERT_EQUAL(load.answered_start_wall_ms,
				row->load.answered_start_wall_ms);
		CU_ASSERT_EQUAL(sends.requests, row->sends.requests);
		CU_ASSERT_EQUAL(sends.retries, row->sends.retries);
		CU_ASSERT_EQUAL(sends.pauses, row->sends.pauses);
		CU_ASSERT_EQUAL(sends.long_pauses, row->sends.long_pauses);
		CU_ASSERT_EQUAL(flow ? flow->tokens : 0, row->flow_tokens);
		g_free(key);
		cb_usage_delete(usage);
		g_bytes_unref(bytes);
	}
}

/* What this build knows is written in the form of each version, without loss to it. */
static void usages_are_written_as_each_version_reads_them(void)
{
	const version_case_t *latest = &cases[G_N_ELEMENTS(cases) - 1];
	cb_usage_t *usage = cb_usage_new();
	size_t i;

	cb_usage_add_load(usage, "a", &latest->load);
	cb_usage_add_sends(usage, "s", &latest->sends);
	cb_usage_add_flow(usage, "s", 1, "w", latest->flow_tokens);
	CU_ASSERT_EQUAL(cases[0].protocol, CB_PROTOCOL_VERSION_MIN);
	CU_ASSERT_EQUAL(latest->protocol, CB_PROTOCOL_VERSION);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *bytes = cb_usage_encode(usage, cases[i].protocol);

		CU_ASSERT_TRUE(bytes_are_(bytes, cases[i].usage,
					  cases[i].usage_bytes));
		g_bytes_unref(bytes);
	}
	cb_usage_delete(usage);
}

/* Each usage with one byte changed or cut off is read or rejected, never worse. */
static void damaged_usages_are_rejected_or_read(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t at;

		for (at = 0; at < cases[i].usage_bytes; at++) {
			GBytes *cut = g_bytes_new_static(cases[i].usage, at);
			char *copy =
				g_memdup2(cases[i].usage, cases[i].usage_bytes);
			GBytes *damaged =
				g_bytes_new_take(copy, cases[i].usage_bytes);

			copy[at] ^= 1;
			CU_ASSERT_PTR_NULL(cb_usage_decode(cut));
			cb_usage_delete(cb_usage_decode(damaged));
			g_bytes_unref(damaged);
			g_bytes_unref(cut);
		}
	}
}

static CU_TestInfo protocol_tests[] = {
	{ "hellos_of_each_version_are_read", hellos_of_each_version_are_read },
	{ "hellos_are_written_as_each_version_reads_them",
	  hellos_are_written_as_each_version_reads_them },
	{ "usages_of_each_version_are_read", usages_of_each_version_are_read },
	{ "usages_are_written_as_each_version_reads_them",
	  usages_are_written_as_each_version_reads_them },
	{ "damaged_usages_are_rejected_or_read",
	  damaged_usages_are_rejected_or_read },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "protocol_versions",
				    .pTests = protocol_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
