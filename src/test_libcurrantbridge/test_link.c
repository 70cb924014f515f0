#include <gio/gio.h>
#include <string.h>

#include "currantbridge/network.h"
#include "private/frame.h"
#include "private/link.h"
#include "support_main.h"

#define HEARTBEAT_MS 100
#define SILENCE_MS 300
#define QUEUE_MAX_BYTES (256 * 1024)
/* Limits every wait of a test, in iterations of the main loop. */
#define ITERATIONS_MAX 20000

/* One end of a link, with a record of its callbacks. */
typedef struct endpoint {
	cb_link_t *link;
	int ready_count;
	int received_count;
	/* Size of the body of the last received message. */
	size_t received_bytes;
	int closed_count;
	cb_close_reason_t reason; /* reason of the last close */
	uint64_t offered;	  /* protocol version; 0: the highest */
} endpoint_t;

/* A TCP listener, its end of the accepted link, and a paused clock. */
typedef struct fixture {
	GMainContext *context;
	cb_clock_t *clock;
	cb_network_t *network;
	cb_listener_t *listener;
	char *address; /* address of the listener, IP:PORT */
	endpoint_t accepted;
} fixture_t;

static void endpoint_ready_(void *user_data, const cb_hello_t *remote)
{
	(void)remote;
	((endpoint_t *)user_data)->ready_count++;
}

static void endpoint_message_received_(void *user_data,
				       const cb_link_message_t *message)
{
	endpoint_t *endpoint = user_data;

	endpoint->received_count++;
	if (message->body)
		endpoint->received_bytes = g_bytes_get_size(message->body);
}

static void endpoint_closed_(void *user_data, cb_close_reason_t reason)
{
	endpoint_t *endpoint = user_data;

	endpoint->closed_count++;
	endpoint->reason = reason;
}

static const cb_link_handler_t endpoint_handler = {
	.ready = endpoint_ready_,
	.received = endpoint_message_received_,
	.closed = endpoint_closed_,
};

static void endpoint_open_(fixture_t *fixture, endpoint_t *endpoint,
			   cb_connection_t *connection)
{
	cb_hello_t hello = { .role = CB_ROLE_CONTROL, .name = (char *)"x" };
	cb_link_options_t options = { .hello = &hello,
				      .heartbeat_ms = HEARTBEAT_MS,
				      .silence_ms = SILENCE_MS,
				      .is_accepted =
					      endpoint == &fixture->accepted,
				      .protocol = endpoint->offered };

	endpoint->link = cb_link_new(fixture->clock, connection, &options,
				     &endpoint_handler, endpoint);
}

static void connection_accepted_(cb_connection_t *connection, void *user_data)
{
	fixture_t *fixture = user_data;

	endpoint_open_(fixture, &fixture->accepted, connection);
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
						 "127.0.0.1:0",
						 connection_accepted_, fixture,
						 NULL);
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

/*
 * Runs the main loop, without advancing the clock, until `*count` is not 0.
 * Returns FALSE if that takes too many iterations.
 */
static gboolean loop_run_until_(fixture_t *fixture, const int *count)
{
	int iterations;

	for (iterations = 0; !*count && iterations < ITERATIONS_MAX;
	     iterations++) {
		if (!g_main_context_iteration(fixture->context, FALSE))
			g_usleep(100);
		cb_clock_advance(fixture->clock, 0);
	}
	return *count != 0;
}

/* Runs the main loop until the bytes in flight have been received. */
static void loop_run_pending_(fixture_t *fixture)
{
	int rounds;

	for (rounds = 0; rounds < 20; rounds++) {
		while (g_main_context_iteration(fixture->context, FALSE))
			;
		g_usleep(200);
	}
}

/* Connects a plain TCP socket, without a link, to the listener. */
static GSocket *raw_socket_connect_(fixture_t *fixture)
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

/* Returns a listening socket that speaks no protocol by itself. */
static GSocket *raw_socket_listen_(void)
{
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);

	g_assert(g_socket_bind(socket, address, TRUE, NULL));
	g_assert(g_socket_listen(socket, NULL));
	g_object_unref(address);
	return socket;
}

/* Opens a connection of the fixture's network to a raw listening socket. */
static cb_connection_t *raw_listener_connect_(fixture_t *fixture,
					      GSocket *listener)
{
	GSocketAddress *local = g_socket_get_local_address(listener, NULL);
	char *address = g_strdup_printf("127.0.0.1:%u",
					g_inet_socket_address_get_port(
						G_INET_SOCKET_ADDRESS(local)));
	cb_connection_t *connection =
		fixture->network->vtable->connect(fixture->network, address);

	g_free(address);
	g_object_unref(local);
	return connection;
}

/* Returns a frame with one hello of the given protocol version and role. */
static GBytes *hello_frame_new_(uint64_t protocol, uint64_t role)
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

/* The initialisers of `bytes` and `size` for a string literal. */
#define BYTES(literal) (literal), sizeof(literal) - 1

/*
 * Invalid or missing input from an unknown process closes its link with the
 * matching reason, and the link never becomes ready.
 */
static void invalid_input_closes_link_with_reason(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		size_t size;
		gboolean closes_socket;
		cb_close_reason_t reason;
	} cases[] = {
		{ "http", BYTES("GET / HTTP/1.1\r\n\r\n"), FALSE,
		  CB_CLOSE_OVERSIZE },
		{ "oversize", BYTES("\x00\x10\x00\x01x"), FALSE,
		  CB_CLOSE_OVERSIZE },
		{ "empty frame", BYTES("\0\0\0\0"), FALSE, CB_CLOSE_MALFORMED },
		{ "not msgpack", BYTES("\0\0\0\3\0\xc1\xc1"), FALSE,
		  CB_CLOSE_MALFORMED },
		{ "unknown part", BYTES("\0\0\0\2\7\x90"), FALSE,
		  CB_CLOSE_MALFORMED },
		{ "heartbeat before hello",
		  BYTES("\0\0\0\11\0\x97\1\0\0\0\xc0\xc0\xc0"), FALSE,
		  CB_CLOSE_MALFORMED },
		{ "truncated, closed", BYTES("\0\0\0\11\0\x97"), TRUE,
		  CB_CLOSE_REMOTE },
		{ "truncated, silent", BYTES("\0\0\0\11\0\x97"), FALSE,
		  CB_CLOSE_SILENT },
		{ "nothing, silent", "", 0, FALSE, CB_CLOSE_SILENT },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;
		GSocket *raw;

		fixture_init_(&fixture);
		raw = raw_socket_connect_(&fixture);
		g_socket_send(raw, cases[i].bytes, cases[i].size, NULL, NULL);
		if (cases[i].closes_socket)
			g_socket_close(raw, NULL);
		loop_run_pending_(&fixture);
		if (cases[i].reason == CB_CLOSE_SILENT) {
			CU_ASSERT_EQUAL(fixture.accepted.closed_count, 0);
			cb_clock_advance(fixture.clock, SILENCE_MS);
		}
		CU_ASSERT_TRUE(loop_run_until_(&fixture,
					       &fixture.accepted.closed_count));
		CU_ASSERT_EQUAL(fixture.accepted.reason, cases[i].reason);
		if (fixture.accepted.reason != cases[i].reason)
			printf("    case: %s\n", cases[i].name);
		CU_ASSERT_EQUAL(fixture.accepted.ready_count, 0);
		g_object_unref(raw);
		fixture_clear_(&fixture);
	}
}

/* Guards against links with another protocol version or an unknown role. */
static void hello_version_and_role_are_checked(void)
{
	static const struct {
		uint64_t protocol;
		uint64_t role;
		int ready_count;
		cb_close_reason_t reason;
	} cases[] = {
		{ CB_PROTOCOL_VERSION, CB_ROLE_ENTRY, 1, CB_CLOSE_REMOTE },
		{ CB_PROTOCOL_VERSION + 1, CB_ROLE_ENTRY, 0, CB_CLOSE_VERSION },
		{ CB_PROTOCOL_VERSION, CB_ROLE_COUNT, 0, CB_CLOSE_MALFORMED },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *frame =
			hello_frame_new_(cases[i].protocol, cases[i].role);
		fixture_t fixture;
		GSocket *raw;

		fixture_init_(&fixture);
		raw = raw_socket_connect_(&fixture);
		g_socket_send(raw, g_bytes_get_data(frame, NULL),
			      g_bytes_get_size(frame), NULL, NULL);
		loop_run_pending_(&fixture);
		g_socket_close(raw, NULL);
		CU_ASSERT_TRUE(loop_run_until_(&fixture,
					       &fixture.accepted.closed_count));
		CU_ASSERT_EQUAL(fixture.accepted.ready_count,
				cases[i].ready_count);
		CU_ASSERT_EQUAL(fixture.accepted.reason, cases[i].reason);
		g_object_unref(raw);
		g_bytes_unref(frame);
		fixture_clear_(&fixture);
	}
}

/* Returns the protocol version of the hello that a raw socket receives. */
static uint64_t raw_hello_read_(GSocket *raw)
{
	/* The length of the frame, and the byte that tells of further parts. */
	const gssize before_message = 4 + 1;
	char buffer[256];
	gssize size = g_socket_receive(raw, buffer, sizeof(buffer), NULL, NULL);
	uint32_t frame_bytes;
	cb_link_message_t *message;
	cb_hello_t hello = { 0 };
	uint64_t protocol;

	if (size <= before_message)
		return 0;
	memcpy(&frame_bytes, buffer, sizeof(frame_bytes));
	message =
		cb_link_message_decode((const uint8_t *)buffer + before_message,
				       MIN(g_ntohl(frame_bytes) - 1,
					   (size_t)(size - before_message)));
	if (!message)
		return 0;
	CU_ASSERT_EQUAL(message->kind, CB_LINK_MESSAGE_HELLO);
	if (!message->body || !cb_hello_decode(message->body, &hello))
		hello.protocol = 0;
	protocol = hello.protocol;
	cb_hello_clear(&hello);
	cb_link_message_delete(message);
	return protocol;
}

/* Guards against links that older and newer builds can't open to this one. */
static void accepting_side_answers_with_a_version_that_it_speaks(void)
{
	static const struct {
		uint64_t offered;
		uint64_t answered;
		gboolean is_ready;
	} cases[] = {
		{ 0, CB_PROTOCOL_VERSION_MIN, FALSE },
		{ CB_PROTOCOL_VERSION_MIN - 1, CB_PROTOCOL_VERSION_MIN, FALSE },
		{ CB_PROTOCOL_VERSION_MIN, CB_PROTOCOL_VERSION_MIN, TRUE },
		{ CB_PROTOCOL_VERSION, CB_PROTOCOL_VERSION, TRUE },
		{ CB_PROTOCOL_VERSION + 1, CB_PROTOCOL_VERSION, FALSE },
		{ UINT64_MAX, CB_PROTOCOL_VERSION, FALSE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *frame =
			hello_frame_new_(cases[i].offered, CB_ROLE_ENTRY);
		fixture_t fixture;
		GSocket *raw;

		fixture_init_(&fixture);
		raw = raw_socket_connect_(&fixture);
		loop_run_pending_(&fixture);
		cb_clock_advance(fixture.clock, HEARTBEAT_MS);
		loop_run_pending_(&fixture);
		CU_ASSERT_FALSE(g_socket_condition_check(raw, G_IO_IN));
		g_socket_send(raw, g_bytes_get_data(frame, NULL),
			      g_bytes_get_size(frame), NULL, NULL);
		loop_run_pending_(&fixture);
		cb_clock_advance(fixture.clock, 0);
		CU_ASSERT_EQUAL(raw_hello_read_(raw), cases[i].answered);
		CU_ASSERT_EQUAL(fixture.accepted.ready_count,
				cases[i].is_ready);
		CU_ASSERT_EQUAL(fixture.accepted.closed_count,
				!cases[i].is_ready);
		if (cases[i].is_ready)
			CU_ASSERT_EQUAL(cb_link_protocol(fixture.accepted.link),
					cases[i].offered);
		if (!cases[i].is_ready)
			CU_ASSERT_EQUAL(fixture.accepted.reason,
					CB_CLOSE_VERSION);
		g_object_unref(raw);
		g_bytes_unref(frame);
		fixture_clear_(&fixture);
	}
}

/* Guards against links that this build can't open to older ones. */
static void connecting_side_learns_what_an_older_peer_speaks(void)
{
	static const struct {
		uint64_t offered; /* 0: the highest version */
		uint64_t answered;
		gboolean is_ready;
		uint64_t lower;
	} cases[] = {
		{ 0, CB_PROTOCOL_VERSION, TRUE, 0 },
		{ 0, CB_PROTOCOL_VERSION_MIN, FALSE, CB_PROTOCOL_VERSION_MIN },
		{ 0, CB_PROTOCOL_VERSION_MIN - 1, FALSE, 0 },
		{ 0, CB_PROTOCOL_VERSION + 1, FALSE, 0 },
		{ CB_PROTOCOL_VERSION_MIN, CB_PROTOCOL_VERSION_MIN, TRUE, 0 },
		{ CB_PROTOCOL_VERSION_MIN, CB_PROTOCOL_VERSION, FALSE, 0 },
		{ CB_PROTOCOL_VERSION_MIN, CB_PROTOCOL_VERSION_MIN - 1, FALSE,
		  0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *frame =
			hello_frame_new_(cases[i].answered, CB_ROLE_CONTROL);
		endpoint_t connecting = { .offered = cases[i].offered };
		fixture_t fixture;
		GSocket *raw;
		GSocket *peer;

		fixture_init_(&fixture);
		raw = raw_socket_listen_();
		endpoint_open_(&fixture, &connecting,
			       raw_listener_connect_(&fixture, raw));
		peer = g_socket_accept(raw, NULL, NULL);
		loop_run_pending_(&fixture);
		CU_ASSERT_EQUAL(raw_hello_read_(peer),
				cases[i].offered ? cases[i].offered :
						   CB_PROTOCOL_VERSION);
		g_socket_send(peer, g_bytes_get_data(frame, NULL),
			      g_bytes_get_size(frame), NULL, NULL);
		loop_run_pending_(&fixture);
		cb_clock_advance(fixture.clock, 0);
		CU_ASSERT_EQUAL(connecting.ready_count, cases[i].is_ready);
		CU_ASSERT_EQUAL(connecting.closed_count, !cases[i].is_ready);
		CU_ASSERT_EQUAL(cb_link_lower_protocol(connecting.link),
				cases[i].lower);
		cb_link_delete(connecting.link);
		g_object_unref(peer);
		g_object_unref(raw);
		g_bytes_unref(frame);
		fixture_clear_(&fixture);
	}
}

/*
 * Guards against half-open connections: a peer that sends a hello and no
 * heartbeats is disconnected exactly when the receive timeout expires.
 */
static void link_without_heartbeats_is_closed(void)
{
	GBytes *frame = hello_frame_new_(CB_PROTOCOL_VERSION, CB_ROLE_ENTRY);
	fixture_t fixture;
	GSocket *raw;

	fixture_init_(&fixture);
	raw = raw_socket_connect_(&fixture);
	g_socket_send(raw, g_bytes_get_data(frame, NULL),
		      g_bytes_get_size(frame), NULL, NULL);
	CU_ASSERT_TRUE(
		loop_run_until_(&fixture, &fixture.accepted.ready_count));
	cb_clock_advance(fixture.clock, SILENCE_MS - 1);
	loop_run_pending_(&fixture);
	CU_ASSERT_EQUAL(fixture.accepted.closed_count, 0);
	cb_clock_advance(fixture.clock, 1);
	CU_ASSERT_EQUAL(fixture.accepted.closed_count, 1);
	CU_ASSERT_EQUAL(fixture.accepted.reason, CB_CLOSE_SILENT);
	g_object_unref(raw);
	g_bytes_unref(frame);
	fixture_clear_(&fixture);
}

/*
 * Guards against unbounded memory use: a link whose peer does not read is
 * closed when the send queue is full.
 */
static void link_to_slow_reader_is_closed(void)
{
	GBytes *frame = hello_frame_new_(CB_PROTOCOL_VERSION, CB_ROLE_ENTRY);
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_UPDATE };
	fixture_t fixture;
	GSocket *raw;
	int sent;

	fixture_init_(&fixture);
	raw = raw_socket_connect_(&fixture);
	g_socket_send(raw, g_bytes_get_data(frame, NULL),
		      g_bytes_get_size(frame), NULL, NULL);
	CU_ASSERT_TRUE(
		loop_run_until_(&fixture, &fixture.accepted.ready_count));
	message.body = g_bytes_new_take(g_malloc0(64 * 1024), 64 * 1024);
	for (sent = 0; !fixture.accepted.closed_count && sent < 1000; sent++) {
		cb_link_send(fixture.accepted.link, &message);
		loop_run_pending_(&fixture);
		cb_clock_advance(fixture.clock, 0);
	}
	CU_ASSERT_EQUAL(fixture.accepted.closed_count, 1);
	CU_ASSERT_EQUAL(fixture.accepted.reason, CB_CLOSE_QUEUE_FULL);
	g_bytes_unref(message.body);
	g_object_unref(raw);
	g_bytes_unref(frame);
	fixture_clear_(&fixture);
}

/*
 * Heartbeats keep an idle link open for many receive timeouts.  It then
 * transfers a message that nearly fills the send queue, and the reason of a
 * goodbye.
 */
static void idle_link_stays_open_and_transfers_messages(void)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_UPDATE };
	size_t size = QUEUE_MAX_BYTES - 1024;
	endpoint_t opener = { 0 };
	fixture_t fixture;
	int step;

	fixture_init_(&fixture);
	endpoint_open_(&fixture, &opener,
		       fixture.network->vtable->connect(fixture.network,
							fixture.address));
	CU_ASSERT_TRUE(loop_run_until_(&fixture, &opener.ready_count));
	for (step = 0; step < 20; step++) {
		cb_clock_advance(fixture.clock, SILENCE_MS / 2);
		loop_run_pending_(&fixture);
	}
	CU_ASSERT_EQUAL(opener.closed_count + fixture.accepted.closed_count, 0);
	message.body = g_bytes_new_take(g_malloc0(size), size);
	cb_link_send(opener.link, &message);
	CU_ASSERT_TRUE(
		loop_run_until_(&fixture, &fixture.accepted.received_count));
	CU_ASSERT_EQUAL(fixture.accepted.received_bytes, size);
	cb_link_goodbye(opener.link, CB_CLOSE_STOPPING);
	CU_ASSERT_TRUE(
		loop_run_until_(&fixture, &fixture.accepted.closed_count));
	CU_ASSERT_EQUAL(fixture.accepted.reason, CB_CLOSE_STOPPING);
	g_bytes_unref(message.body);
	cb_link_delete(opener.link);
	fixture_clear_(&fixture);
}

/* A connection that the peer's machine refuses is reported as a close. */
static void refused_connection_is_reported(void)
{
	endpoint_t opener = { 0 };
	fixture_t fixture;

	fixture_init_(&fixture);
	endpoint_open_(&fixture, &opener,
		       fixture.network->vtable->connect(fixture.network,
							"127.0.0.1:1"));
	CU_ASSERT_TRUE(loop_run_until_(&fixture, &opener.closed_count));
	CU_ASSERT_EQUAL(opener.reason, CB_CLOSE_REFUSED);
	cb_link_delete(opener.link);
	fixture_clear_(&fixture);
}

/*
 * Guards against memory errors in the decoder: an encoded message with a
 * changed byte and a random length is decoded or rejected.
 */
static void corrupted_messages_are_decoded_safely(void)
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
	{ "invalid_input_closes_link_with_reason",
	  invalid_input_closes_link_with_reason },
	{ "accepting_side_answers_with_a_version_that_it_speaks",
	  accepting_side_answers_with_a_version_that_it_speaks },
	{ "connecting_side_learns_what_an_older_peer_speaks",
	  connecting_side_learns_what_an_older_peer_speaks },
	{ "hello_version_and_role_are_checked",
	  hello_version_and_role_are_checked },
	{ "link_without_heartbeats_is_closed",
	  link_without_heartbeats_is_closed },
	{ "link_to_slow_reader_is_closed", link_to_slow_reader_is_closed },
	{ "idle_link_stays_open_and_transfers_messages",
	  idle_link_stays_open_and_transfers_messages },
	{ "refused_connection_is_reported", refused_connection_is_reported },
	{ "corrupted_messages_are_decoded_safely",
	  corrupted_messages_are_decoded_safely },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "link", .pTests = link_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
