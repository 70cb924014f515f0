#include <gio/gio.h>
#include <string.h>

#include "currantbridge/network.h"
#include "private/frame.h"
#include "private/link.h"
#include "support_main.h"

#define HEARTBEAT_MS 100
#define SILENCE_MS 300
#define QUEUE_MAX_BYTES (256 * 1024)
/* Bounds every wait of a test, in turns of the loop. */
#define TURNS_MAX 20000

/* One end of a link, with what its owner was told. */
typedef struct end {
	cb_link_t *link;
	int ready;
	int received;
	size_t received_bytes;
	int closed;
	cb_close_reason_t reason;
} end_t;

/* A listening network on a paused clock. */
typedef struct fixture {
	GMainContext *context;
	cb_clock_t *clock;
	cb_network_t *network;
	cb_listener_t *listener;
	char *address;
	end_t accepted;
} fixture_t;

static void end_ready_(void *user_data, const cb_hello_t *remote)
{
	(void)remote;
	((end_t *)user_data)->ready++;
}

static void end_received_(void *user_data, const cb_link_message_t *message)
{
	end_t *end = user_data;

	end->received++;
	if (message->body)
		end->received_bytes = g_bytes_get_size(message->body);
}

static void end_closed_(void *user_data, cb_close_reason_t reason)
{
	end_t *end = user_data;

	end->closed++;
	end->reason = reason;
}

static const cb_link_handler_t end_handler = {
	.ready = end_ready_,
	.received = end_received_,
	.closed = end_closed_,
};

static void end_open_(fixture_t *fixture, end_t *end,
		      cb_connection_t *connection)
{
	cb_hello_t hello = { .role = CB_ROLE_CONTROL, .name = (char *)"x" };
	cb_link_options_t options = { .hello = &hello,
				      .heartbeat_ms = HEARTBEAT_MS,
				      .silence_ms = SILENCE_MS };

	end->link = cb_link_new(fixture->clock, connection, &options,
				&end_handler, end);
}

static void accepted_(cb_connection_t *connection, void *user_data)
{
	fixture_t *fixture = user_data;

	end_open_(fixture, &fixture->accepted, connection);
}

static void fixture_init_(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->context = g_main_context_new();
	fixture->clock = cb_clock_new_paused(0);
	fixture->network =
		cb_tcp_network_new(fixture->context, QUEUE_MAX_BYTES);
	fixture->listener =
		fixture->network->vtable->listen(fixture->network,
						 "127.0.0.1:0", accepted_,
						 fixture, NULL);
	g_assert(fixture->listener);
	fixture->address =
		g_strdup_printf("127.0.0.1:%u",
				cb_tcp_listener_port(fixture->listener));
}

static void fixture_clear_(fixture_t *fixture)
{
	cb_link_delete(fixture->accepted.link);
	fixture->network->vtable->unlisten(fixture->network, fixture->listener);
	fixture->network->vtable->destroy(fixture->network);
	cb_clock_delete(fixture->clock);
	g_main_context_unref(fixture->context);
	g_free(fixture->address);
}

/* Runs the loop until `flag` is set, within bounds, at a standing clock. */
static gboolean run_until_(fixture_t *fixture, const int *flag)
{
	int turns;

	for (turns = 0; !*flag && turns < TURNS_MAX; turns++) {
		if (!g_main_context_iteration(fixture->context, FALSE))
			g_usleep(100);
		cb_clock_advance(fixture->clock, 0);
	}
	return *flag != 0;
}

/* Lets what is under way arrive. */
static void settle_(fixture_t *fixture)
{
	int turns;

	for (turns = 0; turns < 20; turns++) {
		while (g_main_context_iteration(fixture->context, FALSE))
			;
		g_usleep(200);
	}
}

/* Opens a plain socket to the listener, as a process that is not a link. */
static GSocket *raw_connect_(fixture_t *fixture)
{
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		"127.0.0.1", cb_tcp_listener_port(fixture->listener));

	g_assert(g_socket_connect(socket, address, NULL, NULL));
	g_object_unref(address);
	return socket;
}

/* A frame that holds one hello with the given protocol version and role. */
static GBytes *hello_frame_(uint64_t protocol, uint64_t role)
{
	cb_hello_t hello = { .protocol = protocol,
			     .role = (cb_role_t)role,
			     .name = (char *)"raw" };
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_HELLO };
	GByteArray *payload = g_byte_array_new();
	GByteArray *out = g_byte_array_new();
	GBytes *bytes;

	message.body = cb_hello_encode(&hello);
	bytes = cb_link_message_encode(&message);
	g_byte_array_append(payload, (const uint8_t *)"\0", 1);
	g_byte_array_append(payload, g_bytes_get_data(bytes, NULL),
			    (guint)g_bytes_get_size(bytes));
	cb_frame_append(out, payload->data, payload->len);
	g_bytes_unref(bytes);
	g_bytes_unref(message.body);
	g_byte_array_unref(payload);
	return g_byte_array_free_to_bytes(out);
}

#define RAW(text) (text), sizeof(text) - 1

/* Whatever a stranger sends closes its link with the reason, and no more. */
static void raw_bytes_close_the_link(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		size_t size;
		gboolean closes;
		cb_close_reason_t reason;
	} cases[] = {
		{ "http", RAW("GET / HTTP/1.1\r\n\r\n"), FALSE,
		  CB_CLOSE_OVERSIZE },
		{ "oversize", RAW("\x00\x10\x00\x01x"), FALSE,
		  CB_CLOSE_OVERSIZE },
		{ "empty frame", RAW("\0\0\0\0"), FALSE, CB_CLOSE_MALFORMED },
		{ "not msgpack", RAW("\0\0\0\3\0\xc1\xc1"), FALSE,
		  CB_CLOSE_MALFORMED },
		{ "unknown part", RAW("\0\0\0\2\7\x90"), FALSE,
		  CB_CLOSE_MALFORMED },
		{ "heartbeat before hello",
		  RAW("\0\0\0\11\0\x97\1\0\0\0\xc0\xc0\xc0"), FALSE,
		  CB_CLOSE_MALFORMED },
		{ "truncated, closed", RAW("\0\0\0\11\0\x97"), TRUE,
		  CB_CLOSE_REMOTE },
		{ "truncated, silent", RAW("\0\0\0\11\0\x97"), FALSE,
		  CB_CLOSE_SILENT },
		{ "nothing, silent", "", 0, FALSE, CB_CLOSE_SILENT },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;
		GSocket *raw;

		fixture_init_(&fixture);
		raw = raw_connect_(&fixture);
		g_socket_send(raw, cases[i].bytes, cases[i].size, NULL, NULL);
		if (cases[i].closes)
			g_socket_close(raw, NULL);
		settle_(&fixture);
		if (cases[i].reason == CB_CLOSE_SILENT) {
			CU_ASSERT_EQUAL(fixture.accepted.closed, 0);
			cb_clock_advance(fixture.clock, SILENCE_MS);
		}
		CU_ASSERT_TRUE(run_until_(&fixture, &fixture.accepted.closed));
		CU_ASSERT_EQUAL(fixture.accepted.reason, cases[i].reason);
		if (fixture.accepted.reason != cases[i].reason)
			printf("    case: %s\n", cases[i].name);
		CU_ASSERT_EQUAL(fixture.accepted.ready, 0);
		g_object_unref(raw);
		fixture_clear_(&fixture);
	}
}

static void hello_is_checked(void)
{
	static const struct {
		uint64_t protocol;
		uint64_t role;
		int ready;
		cb_close_reason_t reason;
	} cases[] = {
		{ CB_PROTOCOL_VERSION, CB_ROLE_ENTRY, 1, CB_CLOSE_REMOTE },
		{ CB_PROTOCOL_VERSION + 1, CB_ROLE_ENTRY, 0, CB_CLOSE_VERSION },
		{ CB_PROTOCOL_VERSION, CB_ROLE_COUNT, 0, CB_CLOSE_MALFORMED },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *frame = hello_frame_(cases[i].protocol, cases[i].role);
		fixture_t fixture;
		GSocket *raw;

		fixture_init_(&fixture);
		raw = raw_connect_(&fixture);
		g_socket_send(raw, g_bytes_get_data(frame, NULL),
			      g_bytes_get_size(frame), NULL, NULL);
		settle_(&fixture);
		g_socket_close(raw, NULL);
		CU_ASSERT_TRUE(run_until_(&fixture, &fixture.accepted.closed));
		CU_ASSERT_EQUAL(fixture.accepted.ready, cases[i].ready);
		CU_ASSERT_EQUAL(fixture.accepted.reason, cases[i].reason);
		g_object_unref(raw);
		g_bytes_unref(frame);
		fixture_clear_(&fixture);
	}
}

/* A process that says hello and nothing more: open, but silent. */
static void half_open_link_is_dropped(void)
{
	GBytes *frame = hello_frame_(CB_PROTOCOL_VERSION, CB_ROLE_ENTRY);
	fixture_t fixture;
	GSocket *raw;

	fixture_init_(&fixture);
	raw = raw_connect_(&fixture);
	g_socket_send(raw, g_bytes_get_data(frame, NULL),
		      g_bytes_get_size(frame), NULL, NULL);
	CU_ASSERT_TRUE(run_until_(&fixture, &fixture.accepted.ready));
	cb_clock_advance(fixture.clock, SILENCE_MS - 1);
	settle_(&fixture);
	CU_ASSERT_EQUAL(fixture.accepted.closed, 0);
	cb_clock_advance(fixture.clock, 1);
	CU_ASSERT_EQUAL(fixture.accepted.closed, 1);
	CU_ASSERT_EQUAL(fixture.accepted.reason, CB_CLOSE_SILENT);
	g_object_unref(raw);
	g_bytes_unref(frame);
	fixture_clear_(&fixture);
}

/* A reader that does not read costs at most the queue's bound. */
static void slow_reader_is_dropped(void)
{
	GBytes *frame = hello_frame_(CB_PROTOCOL_VERSION, CB_ROLE_ENTRY);
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_UPDATE };
	fixture_t fixture;
	GSocket *raw;
	int sent;

	fixture_init_(&fixture);
	raw = raw_connect_(&fixture);
	g_socket_send(raw, g_bytes_get_data(frame, NULL),
		      g_bytes_get_size(frame), NULL, NULL);
	CU_ASSERT_TRUE(run_until_(&fixture, &fixture.accepted.ready));
	message.body = g_bytes_new_take(g_malloc0(64 * 1024), 64 * 1024);
	for (sent = 0; !fixture.accepted.closed && sent < 1000; sent++) {
		cb_link_send(fixture.accepted.link, &message);
		settle_(&fixture);
		cb_clock_advance(fixture.clock, 0);
	}
	CU_ASSERT_EQUAL(fixture.accepted.closed, 1);
	CU_ASSERT_EQUAL(fixture.accepted.reason, CB_CLOSE_QUEUE_FULL);
	g_bytes_unref(message.body);
	g_object_unref(raw);
	g_bytes_unref(frame);
	fixture_clear_(&fixture);
}

/* Two ends keep an idle link for long, and pass a message in parts. */
static void live_link_lasts(void)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_UPDATE };
	size_t size = QUEUE_MAX_BYTES - 1024;
	end_t opener = { 0 };
	fixture_t fixture;
	int step;

	fixture_init_(&fixture);
	end_open_(&fixture, &opener,
		  fixture.network->vtable->connect(fixture.network,
						   fixture.address));
	CU_ASSERT_TRUE(run_until_(&fixture, &opener.ready));
	for (step = 0; step < 20; step++) {
		cb_clock_advance(fixture.clock, SILENCE_MS / 2);
		settle_(&fixture);
	}
	CU_ASSERT_EQUAL(opener.closed + fixture.accepted.closed, 0);
	message.body = g_bytes_new_take(g_malloc0(size), size);
	cb_link_send(opener.link, &message);
	CU_ASSERT_TRUE(run_until_(&fixture, &fixture.accepted.received));
	CU_ASSERT_EQUAL(fixture.accepted.received_bytes, size);
	cb_link_goodbye(opener.link, CB_CLOSE_STOPPING);
	CU_ASSERT_TRUE(run_until_(&fixture, &fixture.accepted.closed));
	CU_ASSERT_EQUAL(fixture.accepted.reason, CB_CLOSE_STOPPING);
	g_bytes_unref(message.body);
	cb_link_delete(opener.link);
	fixture_clear_(&fixture);
}

static void refused_connection_is_told(void)
{
	end_t opener = { 0 };
	fixture_t fixture;

	fixture_init_(&fixture);
	end_open_(&fixture, &opener,
		  fixture.network->vtable->connect(fixture.network,
						   "127.0.0.1:1"));
	CU_ASSERT_TRUE(run_until_(&fixture, &opener.closed));
	CU_ASSERT_EQUAL(opener.reason, CB_CLOSE_REFUSED);
	cb_link_delete(opener.link);
	fixture_clear_(&fixture);
}

/* Decoding changed bytes gives a message or none, never a fault. */
static void changed_messages_are_survived(void)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_MEMBER_ADD,
				      .name = (char *)"control-1",
				      .address = (char *)"127.0.0.1:9" };
	GRand *random = g_rand_new_with_seed(20261203);
	GBytes *bytes;
	int round;

	message.body = g_bytes_new_static("body", 4);
	bytes = cb_link_message_encode(&message);
	for (round = 0; round < 20000; round++) {
		gsize size;
		const void *data = g_bytes_get_data(bytes, &size);
		uint8_t *copy = g_memdup2(data, size);
		cb_link_message_t *decoded;

		copy[g_rand_int_range(random, 0, (int)size)] =
			(uint8_t)g_rand_int_range(random, 0, 256);
		size = (gsize)g_rand_int_range(random, 0, (int)size + 1);
		decoded = cb_link_message_decode(copy, size);
		cb_link_message_delete(decoded);
		g_free(copy);
	}
	g_bytes_unref(bytes);
	g_bytes_unref(message.body);
	g_rand_free(random);
}

static CU_TestInfo link_tests[] = {
	{ "raw_bytes_close_the_link", raw_bytes_close_the_link },
	{ "hello_is_checked", hello_is_checked },
	{ "half_open_link_is_dropped", half_open_link_is_dropped },
	{ "slow_reader_is_dropped", slow_reader_is_dropped },
	{ "live_link_lasts", live_link_lasts },
	{ "refused_connection_is_told", refused_connection_is_told },
	{ "changed_messages_are_survived", changed_messages_are_survived },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "link", .pTests = link_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
