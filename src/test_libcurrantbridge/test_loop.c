#include "support_main.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantbridge/clock.h"
#include "private/stream.h"

/* Tests the order in which a loop calls timers and sockets, in real time. */
#define TIMER_MS 20
#define PAUSE_MS 120
#define WAIT_MS 2000

/* A timer and a connection, and which of them was called first. */
typedef struct loop_fixture {
	cb_clock_t *clock;
	cb_poller_t *poller;
	cb_timer_t *timer;
	cb_stream_t *stream;
	int peer_fd;
	gboolean has_fired;
	gboolean has_received;
	gboolean was_received_first;
} loop_fixture_t;

static void timer_fired_(void *user_data)
{
	loop_fixture_t *fixture = user_data;

	fixture->has_fired = TRUE;
}

static void bytes_received_(void *user_data, const uint8_t *data, size_t size)
{
	loop_fixture_t *fixture = user_data;

	(void)data;
	(void)size;
	fixture->has_received = TRUE;
	fixture->was_received_first = !fixture->has_fired;
}

static void stream_ended_(void *user_data, cb_stream_end_t end)
{
	(void)user_data;
	(void)end;
}

static const cb_stream_handler_t handler = { .received = bytes_received_,
					     .ended = stream_ended_ };

static void fixture_init_(loop_fixture_t *fixture)
{
	int fds[2];

	*fixture = (loop_fixture_t){ .clock = cb_clock_new(NULL),
				     .poller = cb_poller_new(NULL) };
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK,
					 0, fds),
			      0);
	fixture->peer_fd = fds[1];
	fixture->stream =
		cb_stream_new(fixture->poller, fds[0], &handler, fixture);
	fixture->timer = cb_timer_new(fixture->clock, timer_fired_, fixture);
}

static void fixture_clear_(loop_fixture_t *fixture)
{
	cb_timer_delete(fixture->timer);
	cb_stream_delete(fixture->stream);
	close(fixture->peer_fd);
	cb_poller_delete(fixture->poller);
	cb_clock_delete(fixture->clock);
}

/* Runs the loop until the timer has fired and the bytes have been received. */
static void loop_run_(const loop_fixture_t *fixture)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * 1000;

	while ((!fixture->has_fired || !fixture->has_received) &&
	       g_get_monotonic_time() < end_us)
		g_main_context_iteration(NULL, FALSE);
	CU_ASSERT_TRUE(fixture->has_fired);
	CU_ASSERT_TRUE(fixture->has_received);
}

/*
 * A process that was stopped or busy must not take for missing what has arrived
 * meanwhile: the bytes are received before a timer that is overdue fires.
 */
static void overdue_timer_fires_after_arrived_bytes(void)
{
	loop_fixture_t fixture;

	fixture_init_(&fixture);
	cb_timer_start(fixture.timer, TIMER_MS);
	g_main_context_iteration(NULL, FALSE);
	CU_ASSERT_EQUAL(write(fixture.peer_fd, "x", 1), 1);
	g_usleep(PAUSE_MS * 1000);
	loop_run_(&fixture);
	CU_ASSERT_TRUE(fixture.was_received_first);
	fixture_clear_(&fixture);
}

/* Sockets that are always ready must not keep timers from firing. */
static void ready_sockets_do_not_stop_timers(void)
{
	loop_fixture_t fixture;
	int64_t end_us;

	fixture_init_(&fixture);
	cb_timer_start(fixture.timer, TIMER_MS);
	end_us = g_get_monotonic_time() + WAIT_MS * 1000;
	while (!fixture.has_fired && g_get_monotonic_time() < end_us) {
		CU_ASSERT_EQUAL(write(fixture.peer_fd, "x", 1), 1);
		g_usleep(PAUSE_MS * 1000);
		g_main_context_iteration(NULL, FALSE);
	}
	CU_ASSERT_TRUE(fixture.has_fired);
	fixture_clear_(&fixture);
}

#define FLOOD_SOCKETS 100
#define FLOOD_BATCH 8

/* A socket with one byte to read, and how often its watch was called. */
typedef struct ready_socket {
	cb_watch_t *watch;
	int fds[2];
	unsigned int call_count;
} ready_socket_t;

static void ready_socket_read_(unsigned int events, void *user_data)
{
	ready_socket_t *self = user_data;
	char byte;

	(void)events;
	self->call_count++;
	CU_ASSERT_EQUAL(read(self->fds[0], &byte, 1), 1);
}

static void ready_socket_init_(ready_socket_t *self, cb_poller_t *poller)
{
	*self = (ready_socket_t){ 0 };
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK,
					 0, self->fds),
			      0);
	self->watch = cb_watch_new(poller, self->fds[0], CB_WATCH_READABLE,
				   ready_socket_read_, self);
	CU_ASSERT_EQUAL(write(self->fds[1], "x", 1), 1);
}

static void ready_socket_clear_(ready_socket_t *self)
{
	cb_watch_delete(self->watch);
	close(self->fds[0]);
	close(self->fds[1]);
}

/*
 * Of many sockets that are ready at once, a limited poller calls a few in each
 * iteration, so that the sockets of another poller are called in the first one;
 * none of them is forgotten.
 */
static void limited_flood_leaves_turns_to_others(void)
{
	cb_poller_t *flooded = cb_poller_new(NULL);
	cb_poller_t *other = cb_poller_new(NULL);
	ready_socket_t sockets[FLOOD_SOCKETS];
	ready_socket_t single;
	unsigned int called = 0;
	unsigned int turn;
	int i;

	cb_poller_limit_batch(flooded, FLOOD_BATCH);
	for (i = 0; i < FLOOD_SOCKETS; i++)
		ready_socket_init_(&sockets[i], flooded);
	ready_socket_init_(&single, other);
	for (turn = 1; turn <= FLOOD_SOCKETS && called < FLOOD_SOCKETS;
	     turn++) {
		g_main_context_iteration(NULL, FALSE);
		called = 0;
		for (i = 0; i < FLOOD_SOCKETS; i++)
			called += sockets[i].call_count;
		CU_ASSERT_TRUE(called <= turn * FLOOD_BATCH);
		CU_ASSERT_EQUAL(single.call_count, 1);
	}
	for (i = 0; i < FLOOD_SOCKETS; i++) {
		CU_ASSERT_EQUAL(sockets[i].call_count, 1);
		ready_socket_clear_(&sockets[i]);
	}
	ready_socket_clear_(&single);
	cb_poller_delete(flooded);
	cb_poller_delete(other);
}

static CU_TestInfo loop_tests[] = { { "overdue_timer_fires_after_arrived_bytes",
				      overdue_timer_fires_after_arrived_bytes },
				    { "ready_sockets_do_not_stop_timers",
				      ready_sockets_do_not_stop_timers },
				    { "limited_flood_leaves_turns_to_others",
				      limited_flood_leaves_turns_to_others },
				    CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "loop", .pTests = loop_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
