#include "private/caller.h"

#include <string.h>

#include "private/http_message.h"
#include "currantbridge/json_fields.h"

#define BEARER_PREFIX "Bearer "
#define REQUEST_ID_HEADER "X-Request-Id"
#define MAX_REQUEST_ID_CHARS 128

struct cb_caller {
	cb_entry_t *entry;
	SoupServerMessage *message;
	/* Value of X-Request-Id, from the caller or generated. */
	char *public_id;
	char *unique_id; /* ID of the request that is sent to engines */
	cb_ticket_t *ticket;
	cb_caller_decided_fn_t decided;
	void *decided_data;
	cb_connection_t *connection;
	gulong finished_handler_id;
	cb_caller_ended_fn_t ended;
	void *ended_data;
};

/* Returns the error as JSON text; free with g_free(). */
char *cb_caller_error_json(const cb_caller_error_t *error)
{
	GString *text = g_string_new("{\"error\":{\"reason\":");

	cb_json_append_string(text, cb_refusal_string[error->refusal]);
	g_string_append(text, ",\"message\":");
	cb_json_append_string(text, error->detail ?
					    error->detail :
					    cb_refusal_message[error->refusal]);
	g_string_append(text, ",\"executed\":");
	cb_json_append_string(text, cb_executed_string[error->executed]);
	g_string_append(text, "}}");
	return g_string_free(text, FALSE);
}

/*
 * Whether the request may be a retry of an earlier one with the same
 * idempotency key, refused before control reported the earlier outcome.
 */
static gboolean earlier_request_may_have_run_(SoupServerMessage *message,
					      cb_refusal_t refusal)
{
	if (!soup_message_headers_get_one(
		    soup_server_message_get_request_headers(message),
		    "Idempotency-Key"))
		return FALSE;
	return refusal == CB_REFUSAL_NOT_READY ||
	       refusal == CB_REFUSAL_LEAVING ||
	       refusal == CB_REFUSAL_RATE_LIMIT ||
	       refusal == CB_REFUSAL_CONCURRENCY_LIMIT ||
	       refusal == CB_REFUSAL_OVERLOADED;
}

/* Answers with an error and increments the counter of its kind of refusal. */
void cb_entry_refuse(cb_entry_t *entry, SoupServerMessage *message,
		     const cb_caller_error_t *error)
{
	cb_executed_t executed = error->executed;

	if (executed == CB_EXECUTED_NO &&
	    earlier_request_may_have_run_(message, error->refusal))
		executed = CB_EXECUTED_UNKNOWN;
	cb_counter_add(entry->refusal_counters[error->refusal], 1);
	cb_http_reply_error(message, cb_refusal_status[error->refusal],
			    cb_refusal_string[error->refusal],
			    error->detail ? error->detail :
					    cb_refusal_message[error->refusal],
			    executed, error->retry_after_s);
}

static void request_refuse_(cb_entry_t *entry, SoupServerMessage *message,
			    cb_refusal_t refusal, int64_t retry_after_s)
{
	cb_caller_error_t error = { .refusal = refusal,
				    .executed = CB_EXECUTED_NO,
				    .retry_after_s = retry_after_s };

	cb_entry_refuse(entry, message, &error);
}

/* Whether the ID is safe in headers, logs and JSON. */
static gboolean request_id_is_valid_(const char *id)
{
	size_t i;

	for (i = 0; id[i]; i++) {
		if (i == MAX_REQUEST_ID_CHARS || !g_ascii_isgraph(id[i]) ||
		    id[i] == '"' || id[i] == '\\')
			return FALSE;
	}
	return i > 0;
}

/*
 * Sets the request's IDs and the X-Request-Id header of its answer.  Callers
 * may reuse an ID, so a random suffix makes the one for engines unique.
 */
static void request_ids_set_(cb_caller_t *caller)
{
	const char *caller_id = soup_message_headers_get_one(
		soup_server_message_get_request_headers(caller->message),
		REQUEST_ID_HEADER);
	char *generated =
		g_strdup_printf("%08x%08x", g_rand_int(caller->entry->random),
				g_rand_int(caller->entry->random));

	if (caller_id && request_id_is_valid_(caller_id)) {
		caller->public_id = g_strdup(caller_id);
		caller->unique_id =
			g_strdup_printf("%s.%s", caller_id, generated);
	} else {
		caller->public_id = g_strdup(generated);
		caller->unique_id = g_strdup(generated);
	}
	g_free(generated);
	soup_message_headers_replace(soup_server_message_get_response_headers(
					     caller->message),
				     REQUEST_ID_HEADER, caller->public_id);
}

/* Finds the contract of the request's bearer key. */
static cb_refusal_t request_authenticate_(cb_entry_t *entry,
					  SoupServerMessage *message,
					  const cb_contract_t **contract)
{
	const char *authorization = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message),
		"Authorization");

	if (!authorization || g_ascii_strncasecmp(authorization, BEARER_PREFIX,
						  strlen(BEARER_PREFIX)))
		return CB_REFUSAL_KEY_MISSING;
	*contract =
		cb_view_contract_by_key(entry->view,
					authorization + strlen(BEARER_PREFIX));
	return *contract ? CB_REFUSAL_NONE : CB_REFUSAL_KEY_UNKNOWN;
}

/*
 * Accepts a request if this instance is ready and its bearer key is valid;
 * otherwise answers with the error and returns NULL.  `*contract` is valid
 * until the view's next update.
 */
cb_caller_t *cb_caller_accept(cb_entry_t *entry, SoupServerMessage *message,
			      const cb_contract_t **contract)
{
	cb_caller_t *caller = g_new0(cb_caller_t, 1);
	cb_refusal_t refusal;

	caller->entry = entry;
	caller->message = g_object_ref(message);
	caller->connection = cb_message_connection(message);
	if (caller->connection)
		g_object_ref(caller->connection);
	request_ids_set_(caller);
	cb_entry_request_begin(entry);
	refusal = cb_entry_check_ready(entry);
	if (refusal == CB_REFUSAL_NONE)
		refusal = request_authenticate_(entry, message, contract);
	if (refusal == CB_REFUSAL_NONE)
		return caller;
	if (refusal == CB_REFUSAL_KEY_MISSING ||
	    refusal == CB_REFUSAL_KEY_UNKNOWN)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"WWW-Authenticate", "Bearer");
	request_refuse_(entry, message, refusal,
			cb_refusal_status[refusal] ==
				SOUP_STATUS_SERVICE_UNAVAILABLE);
	cb_caller_delete(caller);
	return NULL;
}

/* Deletes the caller and its admission ticket; NULL is allowed. */
void cb_caller_delete(cb_caller_t *caller)
{
	if (!caller)
		return;
	if (caller->connection)
		cb_connection_unwatch(caller->connection);
	g_clear_object(&caller->connection);
	g_clear_signal_handler(&caller->finished_handler_id, caller->message);
	cb_ticket_delete(caller->ticket);
	cb_entry_request_end(caller->entry);
	g_object_unref(caller->message);
	g_free(caller->public_id);
	g_free(caller->unique_id);
	g_free(caller);
}

static void ticket_decided_(cb_ticket_t *ticket, void *user_data)
{
	cb_caller_t *caller = user_data;

	caller->decided(caller->decided_data, cb_ticket_refusal(ticket),
			cb_ticket_retry_after_s(ticket));
}

/*
 * Submits the request to admission under its contract.  The caller
 * must have been suspended with cb_caller_suspend(), as the decision may come
 * later.
 */
void cb_caller_submit(cb_caller_t *caller,
		      const cb_admission_request_t *request,
		      cb_caller_decided_fn_t decided, void *user_data)
{
	cb_entry_t *entry = caller->entry;

	caller->decided = decided;
	caller->decided_data = user_data;
	cb_share_keeper_update_floor(entry->share_keeper, request->contract);
	caller->ticket = cb_admission_submit(entry->admission, request,
					     ticket_decided_, caller);
	if (cb_ticket_state(caller->ticket) != CB_TICKET_WAITING)
		ticket_decided_(caller->ticket, caller);
}

/* Charges tokens that the request has used to its contract. */
void cb_caller_charge(cb_caller_t *caller, int64_t tokens)
{
	cb_ticket_charge(caller->ticket, tokens);
}

/* Answers with an error; no part of the answer may have been sent. */
void cb_caller_refuse(cb_caller_t *caller, const cb_caller_error_t *error)
{
	cb_entry_refuse(caller->entry, caller->message, error);
}

static void connection_hung_up_(void *user_data)
{
	cb_caller_t *caller = user_data;
	cb_caller_ended_fn_t ended = caller->ended;

	cb_caller_disconnect(caller);
	ended(caller->ended_data);
}

static void message_finished_(SoupServerMessage *message, void *user_data)
{
	cb_caller_t *caller = user_data;
	cb_caller_ended_fn_t ended = caller->ended;

	(void)message;
	caller->ended = NULL;
	if (ended)
		ended(caller->ended_data);
}

/*
 * Delays the answer until cb_caller_resume().  `ended` is called once the
 * answer is sent or the caller has disconnected.
 */
void cb_caller_suspend(cb_caller_t *caller, cb_caller_ended_fn_t ended,
		       void *user_data)
{
	caller->ended = ended;
	caller->ended_data = user_data;
	soup_server_message_pause(caller->message);
	caller->finished_handler_id =
		g_signal_connect(caller->message, "finished",
				 G_CALLBACK(message_finished_), caller);
	if (caller->connection)
		cb_connection_watch(caller->connection, connection_hung_up_,
				    caller);
}

/* Lets libsoup write the part of the answer that is set so far. */
void cb_caller_resume(cb_caller_t *caller)
{
	soup_server_message_unpause(caller->message);
}

/* Closes the caller's connection at once. */
void cb_caller_disconnect(cb_caller_t *caller)
{
	GIOStream *stream;

	g_clear_signal_handler(&caller->finished_handler_id, caller->message);
	caller->ended = NULL;
	stream = soup_server_message_steal_connection(caller->message);
	if (caller->connection)
		cb_connection_abort(caller->connection);
	g_clear_object(&stream);
}

/* Returns the libsoup message. */
SoupServerMessage *cb_caller_message(const cb_caller_t *caller)
{
	return caller->message;
}

/* Returns the entry instance that serves the caller. */
cb_entry_t *cb_caller_entry(const cb_caller_t *caller)
{
	return caller->entry;
}

/* Returns the request's ID, unique among all requests. */
const char *cb_caller_unique_id(const cb_caller_t *caller)
{
	return caller->unique_id;
}

/* Returns the ID in X-Request-Id: the caller's own or a generated one. */
const char *cb_caller_public_id(const cb_caller_t *caller)
{
	return caller->public_id;
}
