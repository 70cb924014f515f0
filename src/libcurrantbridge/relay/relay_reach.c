#include "private/relay_reach.h"

#include <string.h>

#include "private/relay.h"

/* Servers that are checked at a sign of loss. */
#define CHECKED_SERVERS 3
/* A server in the region that is reached answers within this time. */
#define CHECK_TIMEOUT_MS 150
/* An answer that has arrived unread is read within this time. */
#define CHECK_READ_INTERVAL_MS 10
/* A connection that fails sooner was refused or reset. */
#define REFUSED_CONNECTION_MAX_MS 100
/*
 * While a way is lost, one server is checked in this interval, which varies by
 * half of it so that many instances don't check together; sooner after an answer.
 */
#define RECHECK_INTERVAL_MS 200
#define RECHECK_AFTER_ANSWER_MS 30

/* The check of one server. */
typedef struct check {
	cb_front_t *front;
	cb_reach_group_t *group;
	cb_http1_call_t *call;
	cb_timer_t *timer;
	int64_t since_ms;
} check_t;

static void check_delete_(void *data)
{
	check_t *check = data;

	if (check->call)
		cb_http1_call_cancel(check->call);
	cb_timer_delete(check->timer);
	g_free(check);
}

/* Logs that the way to a group's servers is lost or back, with the reasons. */
static void state_log_(cb_front_t *front, const cb_reach_group_t *group,
		       int64_t before_ms)
{
	const unsigned int *results = cb_reach_group_results(group);
	cb_reach_state_t state = cb_reach_group_state(group);

	cb_log_event(front->log,
		     state == CB_REACH_OPEN ? CB_EVENT_RELAY_WAY_BACK :
					      CB_EVENT_RELAY_WAY_LOST,
		     CB_STR("data_centre", cb_reach_group_data_centre(group)),
		     CB_STR("state", cb_reach_state_string[state]),
		     CB_INT("answered", results[CB_REACH_ANSWERED]),
		     CB_INT("refused", results[CB_REACH_REFUSED]),
		     CB_INT("unanswered", results[CB_REACH_UNANSWERED]),
		     CB_INT("mute", results[CB_REACH_MUTE]),
		     CB_INT("heard_ms_ago", cb_reach_group_silent_ms(group)),
		     CB_INT("before_ms", before_ms));
	cb_relay_count_reason(front, "cb_relay_way_changes_total",
			      cb_reach_state_string[state]);
}

/* Returns a list of the requests with an attempt in flight at a server. */
static GPtrArray *running_relays_collect_(const cb_front_t *front)
{
	GPtrArray *relays = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, front->relays);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const cb_relay_t *relay = value;

		if (relay->call && !relay->forwarded_to)
			g_ptr_array_add(relays, value);
	}
	return relays;
}

/*
 * Returns whether all servers of a request's service are silent, and may only stand
 * still: no other instance has had an answer of them since.
 */
gboolean cb_relay_reach_may_stall(const cb_relay_t *relay)
{
	const cb_front_t *front = relay->front;

	return relay->way_group &&
	       front->way_confirmed_ms <
		       cb_reach_group_since_ms(relay->way_group) &&
	       cb_relay_reach_find(front, relay->service) == CB_REACH_SILENT;
}

/*
 * Returns whether the way to an attempt's servers is lost on open connections too:
 * nothing has been heard over any of them for a while, and the attempt's own answer
 * is overdue.  That new connections fail says nothing about open ones.
 */
static gboolean attempt_is_cut_off_(const cb_relay_t *relay)
{
	cb_reach_state_t state;

	if (!relay->way_group || cb_reach_group_is_heard(relay->way_group) ||
	    !cb_relay_is_overdue(relay))
		return FALSE;
	state = cb_relay_reach_find(relay->front, relay->service);
	return state == CB_REACH_LOST ||
	       (state == CB_REACH_SILENT && !cb_relay_reach_may_stall(relay));
}

/*
 * Leaves an attempt that is cut off from its server, if another instance can serve
 * the request.  Returns FALSE if the attempt goes on.
 */
gboolean cb_relay_reach_move(cb_relay_t *relay)
{
	if (!attempt_is_cut_off_(relay) || !cb_relay_is_resumable(relay) ||
	    !cb_relay_may_retry(relay, 1, 0) ||
	    !cb_relay_forward_is_possible(relay))
		return FALSE;
	cb_relay_attempt_leave(relay, CB_RELAY_CUT_OFF, NULL);
	return TRUE;
}

/* Leaves the attempts that are cut off; those that are not overdue, later. */
static void requests_move_(cb_front_t *front)
{
	GPtrArray *relays = running_relays_collect_(front);
	unsigned int i;

	for (i = 0; i < relays->len; i++) {
		cb_relay_t *relay = relays->pdata[i];

		/* Ending one request may have ended others. */
		if (g_hash_table_contains(front->relays, relay) && relay->call)
			(void)cb_relay_reach_move(relay);
	}
	g_ptr_array_unref(relays);
}

static void check_timer_schedule_(cb_front_t *front, int64_t base_ms)
{
	cb_timer_start_sooner(front->way_timer,
			      base_ms / 2 +
				      g_rand_int_range(front->random, 0,
						       (int32_t)base_ms + 1));
}

static void group_check_(cb_front_t *front, cb_reach_group_t *group);

/*
 * Checks the groups whose way seems open: what has cut off one of them may have cut
 * off this instance, and a request would be lost on each way before that shows.
 */
static void open_groups_check_(cb_front_t *front)
{
	const GPtrArray *groups = cb_reach_groups(front->reach);
	unsigned int i;

	for (i = 0; i < groups->len; i++)
		if (cb_reach_group_suspects(groups->pdata[i],
					    CB_REACH_SIGN_FAILED))
			group_check_(front, groups->pdata[i]);
}

/* Handles that the state of a group has changed. */
static void state_change_handle_(cb_front_t *front, cb_reach_group_t *group,
				 cb_reach_state_t before, int64_t since_ms)
{
	cb_reach_state_t state = cb_reach_group_state(group);

	if (before == CB_REACH_CHECKING && state == CB_REACH_OPEN)
		return;
	state_log_(front, group, cb_clock_now_ms(front->clock) - since_ms);
	if (state == CB_REACH_OPEN)
		cb_server_book_forget_losses(front->book,
					     cb_reach_group_data_centre(group));
	else if (before == CB_REACH_CHECKING)
		open_groups_check_(front);
	if (state == CB_REACH_LOST)
		requests_move_(front);
}

/* Adds the result of a check, which is freed. */
static void check_end_(check_t *check, cb_reach_result_t result)
{
	cb_front_t *front = check->front;
	cb_reach_group_t *group = check->group;
	cb_reach_state_t before = cb_reach_group_state(group);
	int64_t since_ms = cb_reach_group_since_ms(group);
	gboolean has_changed;

	g_hash_table_remove(front->way_checks, check);
	has_changed = cb_reach_group_add(group, result);
	if (cb_reach_has_doubts(front->reach))
		check_timer_schedule_(front, result == CB_REACH_ANSWERED ?
						     RECHECK_AFTER_ANSWER_MS :
						     RECHECK_INTERVAL_MS);
	if (has_changed)
		state_change_handle_(front, group, before, since_ms);
	cb_relay_retry_waiting(front);
}

/* Any answer, also a refusal, has come along the way. */
static gboolean check_head_receive_(void *user_data,
				    const cb_http1_head_t *head)
{
	check_t *check = user_data;

	(void)head;
	cb_timer_stop(check->timer);
	return TRUE;
}

static void check_call_ended_(void *user_data, cb_http1_result_t result)
{
	check_t *check = user_data;

	check->call = NULL;
	switch (result) {
	case CB_HTTP1_UNSENT:
		check_end_(check, cb_clock_now_ms(check->front->clock) -
							  check->since_ms <
						  REFUSED_CONNECTION_MAX_MS ?
					  CB_REACH_REFUSED :
					  CB_REACH_UNANSWERED);
		break;
	case CB_HTTP1_LOST:
		check_end_(check, CB_REACH_REFUSED);
		break;
	case CB_HTTP1_NO_RESOURCES:
		check_end_(check, CB_REACH_UNMADE);
		break;
	default:
		check_end_(check, CB_REACH_ANSWERED);
	}
}

static void check_timer_fired_(void *user_data)
{
	check_t *check = user_data;

	/* This process is late, not the server. */
	if (cb_http1_call_has_input(check->call)) {
		cb_timer_start(check->timer, CHECK_READ_INTERVAL_MS);
		return;
	}
	check_end_(check, cb_http1_call_is_sent(check->call) ?
				  CB_REACH_MUTE :
				  CB_REACH_UNANSWERED);
}

static const cb_http1_call_handler_t check_handler = {
	.head = check_head_receive_,
	.done = check_call_ended_,
};

/* Calls the health path of a server over a new connection. */
static void check_start_(cb_front_t *front, cb_reach_group_t *group,
			 const cb_fleet_server_t *server)
{
	const cb_service_profile_t *service =
		front->document ?
			cb_document_service(front->document, server->service) :
			NULL;
	GString *request = g_string_new(NULL);
	check_t *check = g_new0(check_t, 1);

	g_string_printf(request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			service && service->health_path ? service->health_path :
							  "/",
			server->address);
	check->front = front;
	check->group = group;
	check->since_ms = cb_clock_now_ms(front->clock);
	check->timer = cb_timer_new(front->clock, check_timer_fired_, check);
	g_hash_table_add(front->way_checks, check);
	cb_timer_start(check->timer, CHECK_TIMEOUT_MS);
	check->call =
		cb_http1_client_call(front->client, server->address, "GET",
				     request, CB_HTTP1_NEW_CONNECTION, NULL,
				     &check_handler, check);
}

/* Returns up to `count` ready servers of a data centre, chosen at random. */
static GPtrArray *servers_draw_(const cb_front_t *front,
				const char *data_centre, unsigned int count)
{
	const GPtrArray *all = cb_fleet_servers(front->fleet);
	GPtrArray *drawn = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];

		if (server->state == CB_FLEET_READY &&
		    !g_strcmp0(server->data_centre, data_centre))
			g_ptr_array_add(drawn, all->pdata[i]);
	}
	for (i = 0; i < MIN(count, drawn->len); i++) {
		unsigned int other =
			(unsigned int)g_rand_int_range(front->random,
						       (int32_t)i,
						       (int32_t)drawn->len);
		void *server = drawn->pdata[i];

		drawn->pdata[i] = drawn->pdata[other];
		drawn->pdata[other] = server;
	}
	g_ptr_array_set_size(drawn, (int)MIN(count, drawn->len));
	return drawn;
}

/* Begins the check of some servers of a group. */
static void group_check_(cb_front_t *front, cb_reach_group_t *group)
{
	GPtrArray *servers =
		servers_draw_(front, cb_reach_group_data_centre(group),
			      CHECKED_SERVERS);
	unsigned int i;

	if (servers->len) {
		if (!cb_reach_has_doubts(front->reach))
			front->way_suspect_ms = cb_clock_now_ms(front->clock);
		cb_reach_group_begin(group, servers->len);
	}
	for (i = 0; i < servers->len; i++)
		check_start_(front, group, servers->pdata[i]);
	g_ptr_array_unref(servers);
}

/* Checks one server of a group whose way is lost, or some if it may be back. */
static void lost_group_check_(cb_front_t *front, cb_reach_group_t *group)
{
	GPtrArray *servers;

	if (cb_reach_group_may_be_back(group)) {
		group_check_(front, group);
		return;
	}
	servers = servers_draw_(front, cb_reach_group_data_centre(group), 1);
	if (servers->len)
		check_start_(front, group, servers->pdata[0]);
	g_ptr_array_unref(servers);
}

/* Checks the groups whose way is lost. */
static void way_timer_fired_(void *user_data)
{
	cb_front_t *front = user_data;
	const GPtrArray *groups = cb_reach_groups(front->reach);
	unsigned int i;

	for (i = 0; i < groups->len; i++) {
		cb_reach_group_t *group = groups->pdata[i];
		cb_reach_state_t state = cb_reach_group_state(group);

		if (state != CB_REACH_OPEN && state != CB_REACH_CHECKING)
			lost_group_check_(front, group);
	}
	if (cb_reach_has_doubts(front->reach))
		check_timer_schedule_(front, RECHECK_INTERVAL_MS);
}

/* Returns the group of a server; one check is made as a group is first used. */
cb_reach_group_t *cb_relay_reach_find_group(cb_front_t *front,
					    const cb_relay_hop_t *hop)
{
	const cb_fleet_server_t *server = cb_fleet_find(front->fleet, hop->id);
	unsigned int count = cb_reach_groups(front->reach)->len;
	cb_reach_group_t *group;

	if (!server)
		return NULL;
	group = cb_reach_get_group(front->reach, server->data_centre);
	if (cb_reach_groups(front->reach)->len > count)
		check_start_(front, group, server);
	return group;
}

/* Records a sign of loss at the first server of a request's chain. */
void cb_relay_reach_suspect(cb_relay_t *relay, cb_reach_sign_t sign)
{
	if (relay->way_group && cb_reach_group_suspects(relay->way_group, sign))
		group_check_(relay->front, relay->way_group);
}

/* Returns what is known of the way to the ready servers of a service. */
cb_reach_state_t cb_relay_reach_find(const cb_front_t *front,
				     const cb_service_profile_t *service)
{
	const GPtrArray *all = cb_fleet_servers(front->fleet);
	cb_reach_state_t best = CB_REACH_STATE_COUNT;
	unsigned int i;

	if (!cb_reach_has_doubts(front->reach))
		return CB_REACH_OPEN;
	for (i = 0; i < all->len && best != CB_REACH_OPEN; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		cb_reach_state_t state = CB_REACH_OPEN;

		if (server->state != CB_FLEET_READY ||
		    strcmp(server->service, service->name) != 0)
			continue;
		if (cb_reach_is_doubtful(front->reach, server->data_centre))
			state = cb_reach_group_state(
				cb_reach_get_group(front->reach,
						   server->data_centre));
		best = MIN(best, state);
	}
	return best == CB_REACH_STATE_COUNT ? CB_REACH_OPEN : best;
}

/*
 * Returns whether another attempt at a request has a way to a server, of this
 * instance or of another one; not while it is checked whether new connections fail.
 */
gboolean cb_relay_reach_allows_restart(const cb_relay_t *relay)
{
	switch (cb_relay_reach_find(relay->front, relay->service)) {
	case CB_REACH_CHECKING:
		return FALSE;
	case CB_REACH_NEW_LOST:
	case CB_REACH_LOST:
		return cb_relay_forward_is_possible(relay);
	default:
		return TRUE;
	}
}

/*
 * Records that another instance has an answer of the servers: that this one hears
 * nothing is due to its way, not to servers that stand still.
 */
void cb_relay_reach_confirm(cb_front_t *front)
{
	front->way_confirmed_ms = cb_clock_now_ms(front->clock);
	if (cb_reach_has_doubts(front->reach))
		requests_move_(front);
}

/*
 * Records that the server of a request has answered it.  Over a new connection that
 * shows that the way is open.
 */
void cb_relay_reach_hear_answer(cb_relay_t *relay)
{
	cb_reach_group_t *group = relay->way_group;
	cb_reach_state_t before;
	int64_t since_ms;

	if (!group || !cb_reach_has_doubts(relay->front->reach) ||
	    !cb_http1_call_is_first(relay->call))
		return;
	before = cb_reach_group_state(group);
	since_ms = cb_reach_group_since_ms(group);
	cb_reach_group_prove(group);
	if (before != CB_REACH_OPEN)
		state_change_handle_(relay->front, group, before, since_ms);
}

/* Creates the state and the timer of an instance's checks. */
void cb_relay_reach_init(cb_front_t *front)
{
	front->reach = cb_reach_new(front->clock);
	front->way_checks = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						  check_delete_, NULL);
	front->way_timer = cb_timer_new(front->clock, way_timer_fired_, front);
}

/* Cancels the checks and frees what cb_relay_reach_init() created. */
void cb_relay_reach_clear(cb_front_t *front)
{
	g_hash_table_unref(front->way_checks);
	cb_timer_delete(front->way_timer);
	cb_reach_delete(front->reach);
}
