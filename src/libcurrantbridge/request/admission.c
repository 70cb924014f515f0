#include "currantbridge/admission.h"

#include <string.h>

#include "private/flow.h"

/* Longest time that a request waits to begin. */
#define MAX_WAIT_MS 2000
/* How often the queues are checked while a request waits. */
#define DISPATCH_INTERVAL_MS 10
#define MS_PER_S 1000
#define US_PER_MS 1000

struct cb_admission {
	cb_admission_parts_t parts;
	GHashTable *flows;  /* workspace name to cb_flow_t */
	GHashTable *queues; /* "workspace\ntarget" to queue_t */
	/* the queues that are not empty: array of queue_t */
	GPtrArray *waiting_queues;
	cb_timer_t *dispatch_timer;
	cb_counter_t *waiting_gauge;
	/*
	 * Highest virtual_service of a flow at the time when one of its
	 * requests began.
	 */
	double virtual_now;
	gboolean is_dispatching;
};

/* Waiting requests of one workspace for one target, in order of arrival. */
typedef struct queue {
	cb_admission_t *admission;
	cb_flow_t *flow;
	char *target;		 /* the model or service */
	GQueue tickets;		 /* waiting requests: queue of cb_ticket_t */
	cb_refusal_t blocked_by; /* limit that the first ticket waits for */
} queue_t;

struct cb_ticket {
	cb_admission_t *admission;
	queue_t *queue;
	/* link of the ticket in queue->tickets while it is WAITING */
	GList link;
	cb_ticket_state_t state;
	/*
	 * most tokens that the request may use; 0 for a service that is not a
	 * model
	 */
	uint64_t max_tokens;
	uint64_t used_tokens;
	int64_t begun_at_ms;
	/* time at which the request is refused if it has not begun */
	int64_t begin_deadline_ms;
	cb_refusal_t refusal;
	int64_t retry_after_s;
	cb_ticket_changed_fn_t changed;
	void *user_data;
};

const char *const cb_ticket_state_string[CB_TICKET_STATE_COUNT] = {
	[CB_TICKET_RUNNING] = "running",
	[CB_TICKET_WAITING] = "waiting",
	[CB_TICKET_REFUSED] = "refused",
};

static int64_t now_ms_(const cb_admission_t *admission)
{
	return cb_clock_now_ms(admission->parts.clock);
}

static void dispatch_timer_fired_(void *user_data)
{
	cb_admission_dispatch(user_data);
}

static void flow_free_(void *data)
{
	cb_flow_delete(data);
}

static void queue_free_(void *data)
{
	queue_t *queue = data;

	g_free(queue->target);
	g_free(queue);
}

/* Creates an admission without requests. */
cb_admission_t *cb_admission_new(const cb_admission_parts_t *parts)
{
	cb_admission_t *admission = g_new0(cb_admission_t, 1);

	admission->parts = *parts;
	admission->flows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 flow_free_);
	admission->queues = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, queue_free_);
	admission->waiting_queues = g_ptr_array_new();
	admission->dispatch_timer =
		cb_timer_new(parts->clock, dispatch_timer_fired_, admission);
	admission->waiting_gauge =
		cb_counters_gauge(parts->counters, "cb_admission_waiting", NULL,
				  NULL);
	return admission;
}

/* Deletes an admission after all its tickets; NULL is allowed. */
void cb_admission_delete(cb_admission_t *admission)
{
	if (!admission)
		return;
	cb_timer_delete(admission->dispatch_timer);
	g_hash_table_unref(admission->queues);
	g_hash_table_unref(admission->flows);
	g_ptr_array_unref(admission->waiting_queues);
	g_free(admission);
}

static cb_flow_t *flow_get_(cb_admission_t *admission, const char *workspace)
{
	cb_flow_t *flow = g_hash_table_lookup(admission->flows, workspace);

	if (flow)
		return flow;
	flow = cb_flow_new(workspace, cb_clock_now_us(admission->parts.clock));
	g_hash_table_insert(admission->flows, flow->workspace, flow);
	return flow;
}

static queue_t *queue_get_(cb_admission_t *admission, const char *workspace,
			   const char *target)
{
	char *name = g_strdup_printf("%s\n%s", workspace, target);
	queue_t *queue = g_hash_table_lookup(admission->queues, name);

	if (queue) {
		g_free(name);
		return queue;
	}
	queue = g_new0(queue_t, 1);
	queue->admission = admission;
	queue->flow = flow_get_(admission, workspace);
	queue->target = g_strdup(target);
	g_queue_init(&queue->tickets);
	g_hash_table_insert(admission->queues, name, queue);
	return queue;
}

/* Updates a flow's limits and refills its token buckets up to now. */
static void flow_refresh_(cb_admission_t *admission, cb_flow_t *flow)
{
	cb_amount_t limits =
		cb_share_table_limits(admission->parts.shares, flow->workspace);

	cb_flow_refresh(flow, limits, cb_clock_now_us(admission->parts.clock));
}

/* Raises an idle flow to virtual_now: unused time gives no later priority. */
static void flow_activate_(cb_admission_t *admission, cb_flow_t *flow)
{
	if (!flow->running && !flow->waiting)
		flow->virtual_service =
			MAX(flow->virtual_service, admission->virtual_now);
}

/* Whether a queue's next request may begin now; records what blocks it. */
static gboolean queue_can_begin_(queue_t *queue, gboolean has_tokens)
{
	cb_admission_t *admission = queue->admission;

	queue->blocked_by = cb_flow_blocking_limit(queue->flow, has_tokens);
	if (queue->blocked_by != CB_REFUSAL_NONE)
		return FALSE;
	if (admission->parts.free_slots(queue->target,
					admission->parts.user_data) > 0)
		return TRUE;
	queue->blocked_by = CB_REFUSAL_OVERLOADED;
	return FALSE;
}

static void ticket_begin_(cb_ticket_t *ticket)
{
	cb_flow_t *flow = ticket->queue->flow;

	ticket->state = CB_TICKET_RUNNING;
	ticket->begun_at_ms = now_ms_(ticket->admission);
	ticket->admission->virtual_now =
		MAX(ticket->admission->virtual_now, flow->virtual_service);
	cb_flow_begin_request(flow);
}

/* Refuses a ticket and estimates when a retry can succeed. */
static void ticket_refuse_(cb_ticket_t *ticket)
{
	int64_t wait_ms = cb_flow_expected_wait_ms(ticket->queue->flow);

	ticket->state = CB_TICKET_REFUSED;
	ticket->refusal = ticket->queue->blocked_by;
	ticket->retry_after_s = (wait_ms + MS_PER_S - 1) / MS_PER_S;
	ticket->retry_after_s = MAX(ticket->retry_after_s, 1);
}

static void ticket_enqueue_(cb_ticket_t *ticket)
{
	cb_admission_t *admission = ticket->admission;
	queue_t *queue = ticket->queue;

	ticket->state = CB_TICKET_WAITING;
	ticket->link.data = ticket;
	if (g_queue_is_empty(&queue->tickets))
		g_ptr_array_add(admission->waiting_queues, queue);
	g_queue_push_tail_link(&queue->tickets, &ticket->link);
	cb_flow_add_waiting(queue->flow,
			    cb_clock_now_us(admission->parts.clock));
	cb_counter_add(admission->waiting_gauge, 1);
	if (queue->blocked_by != CB_REFUSAL_OVERLOADED)
		admission->parts.demand_increased(admission->parts.user_data);
	if (!cb_timer_is_armed(admission->dispatch_timer))
		cb_timer_start(admission->dispatch_timer, DISPATCH_INTERVAL_MS);
}

static void ticket_dequeue_(cb_ticket_t *ticket)
{
	cb_admission_t *admission = ticket->admission;
	queue_t *queue = ticket->queue;

	g_queue_unlink(&queue->tickets, &ticket->link);
	if (g_queue_is_empty(&queue->tickets))
		g_ptr_array_remove(admission->waiting_queues, queue);
	queue->flow->waiting--;
	cb_counter_add(admission->waiting_gauge, -1);
}

/*
 * Submits a request: it begins, waits or is refused, as the ticket's state
 * shows.  The caller deletes the ticket.
 */
cb_ticket_t *cb_admission_submit(cb_admission_t *admission,
				 const cb_admission_request_t *request,
				 cb_ticket_changed_fn_t changed,
				 void *user_data)
{
	cb_ticket_t *ticket = g_new0(cb_ticket_t, 1);
	queue_t *queue = queue_get_(admission, request->contract->workspace,
				    request->target);
	cb_flow_t *flow = queue->flow;
	int64_t max_wait_ms =
		MIN(MAX_WAIT_MS, request->contract->deadline_ms / 2);

	ticket->admission = admission;
	ticket->queue = queue;
	ticket->max_tokens = request->max_tokens;
	ticket->begin_deadline_ms = now_ms_(admission) + max_wait_ms;
	ticket->changed = changed;
	ticket->user_data = user_data;
	flow_activate_(admission, flow);
	cb_flow_set_contract(flow, request->contract);
	flow_refresh_(admission, flow);
	if (g_queue_is_empty(&queue->tickets) &&
	    queue_can_begin_(queue, ticket->max_tokens > 0)) {
		ticket_begin_(ticket);
		return ticket;
	}
	cb_flow_add_waiting(flow, cb_clock_now_us(admission->parts.clock));
	/* A request with unused guarantee may wait: it will have priority. */
	if (cb_flow_expected_wait_ms(flow) > max_wait_ms &&
	    !cb_flow_has_unused_guarantee(flow))
		ticket_refuse_(ticket);
	flow->waiting--;
	if (ticket->state != CB_TICKET_REFUSED)
		ticket_enqueue_(ticket);
	return ticket;
}

/* Refuses the tickets of a queue that have waited too long. */
static void queue_expire_(queue_t *queue, int64_t now_ms)
{
	cb_ticket_t *ticket;

	while ((ticket = g_queue_peek_head(&queue->tickets)) &&
	       ticket->begin_deadline_ms <= now_ms) {
		ticket_refuse_(ticket);
		ticket_dequeue_(ticket);
		ticket->changed(ticket, ticket->user_data);
	}
}

/* Whether a request of flow `a` should begin before one of flow `b`. */
static gboolean flow_precedes_(const cb_flow_t *a, const cb_flow_t *b)
{
	gboolean is_guaranteed_a = cb_flow_is_within_guarantee(a);
	gboolean is_guaranteed_b = cb_flow_is_within_guarantee(b);

	if (is_guaranteed_a != is_guaranteed_b)
		return is_guaranteed_a;
	return a->virtual_service < b->virtual_service;
}

/* Returns the queue whose first ticket should begin next, or NULL. */
static queue_t *next_queue_select_(cb_admission_t *admission)
{
	queue_t *best = NULL;
	unsigned int i;

	for (i = 0; i < admission->waiting_queues->len; i++) {
		queue_t *queue =
			g_ptr_array_index(admission->waiting_queues, i);
		cb_ticket_t *first = g_queue_peek_head(&queue->tickets);

		if (!queue_can_begin_(queue, first->max_tokens > 0))
			continue;
		if (!best || flow_precedes_(queue->flow, best->flow))
			best = queue;
	}
	return best;
}

static void queues_expire_(cb_admission_t *admission)
{
	int64_t now_ms = now_ms_(admission);
	unsigned int i;

	for (i = admission->waiting_queues->len; i > 0; i--)
		if (i <= admission->waiting_queues->len)
			queue_expire_(g_ptr_array_index(
					      admission->waiting_queues, i - 1),
				      now_ms);
}

static void waiting_flows_refresh_(cb_admission_t *admission)
{
	unsigned int i;

	for (i = 0; i < admission->waiting_queues->len; i++) {
		queue_t *queue =
			g_ptr_array_index(admission->waiting_queues, i);

		flow_refresh_(admission, queue->flow);
	}
}

/* Begins waiting requests that may run; refuses those that waited too long. */
void cb_admission_dispatch(cb_admission_t *admission)
{
	queue_t *queue;

	if (admission->is_dispatching)
		return;
	admission->is_dispatching = TRUE;
	waiting_flows_refresh_(admission);
	while ((queue = next_queue_select_(admission))) {
		cb_ticket_t *ticket = g_queue_peek_head(&queue->tickets);

		ticket_dequeue_(ticket);
		ticket_begin_(ticket);
		ticket->changed(ticket, ticket->user_data);
	}
	queues_expire_(admission);
	admission->is_dispatching = FALSE;
	if (admission->waiting_queues->len)
		cb_timer_start(admission->dispatch_timer, DISPATCH_INTERVAL_MS);
}

/* Returns what a workspace would use now if nothing limited it. */
cb_amount_t cb_admission_total_demand(cb_admission_t *admission,
				      const char *workspace)
{
	return cb_flow_total_demand(flow_get_(admission, workspace));
}

/*
 * Returns the names of workspaces with running or waiting requests.  The
 * caller frees the array, but not the names.
 */
GPtrArray *cb_admission_active_workspaces(cb_admission_t *admission)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_flow_t *flow = value;

		if (flow->running || flow->waiting)
			g_ptr_array_add(names, flow->workspace);
	}
	return names;
}

/* Returns a ticket's current state. */
cb_ticket_state_t cb_ticket_state(const cb_ticket_t *ticket)
{
	return ticket->state;
}

/* Returns why a ticket was refused, or NONE. */
cb_refusal_t cb_ticket_refusal(const cb_ticket_t *ticket)
{
	return ticket->refusal;
}

/* Returns in how many seconds to retry a refused ticket, 1 or more. */
int64_t cb_ticket_retry_after_s(const cb_ticket_t *ticket)
{
	return ticket->retry_after_s;
}

/* Charges generated tokens; the workspace's allowance may become negative. */
void cb_ticket_charge(cb_ticket_t *ticket, int64_t tokens)
{
	ticket->used_tokens += (uint64_t)tokens;
	cb_flow_charge_tokens(ticket->queue->flow, tokens);
}

/* Ends a ticket in any state; NULL is allowed. */
void cb_ticket_delete(cb_ticket_t *ticket)
{
	cb_admission_t *admission;

	if (!ticket)
		return;
	admission = ticket->admission;
	if (ticket->state == CB_TICKET_WAITING)
		ticket_dequeue_(ticket);
	if (ticket->state == CB_TICKET_RUNNING)
		cb_flow_end_request(ticket->queue->flow, ticket->used_tokens,
				    now_ms_(admission) - ticket->begun_at_ms);
	g_free(ticket);
	if (admission->waiting_queues->len)
		cb_admission_dispatch(admission);
}
