#include "private/caller.h"

#include <string.h>

#include "private/http_message.h"
#include "currantbridge/json_fields.h"

#define BEARER "Bearer "
#define ID_HEADER "X-Request-Id"
#define MAX_ID_CHARS 128

struct cb_caller {
	cb_entry_t *entry;
	SoupServerMessage *message;
	char *id;      /* as the caller knows the request */
	char *request; /* as we and the backend servers know it: unique */
	cb_ticket_t *ticket;
	cb_caller_decided_fn_t decided;
	void *decided_data;
	cb_connection_t *connection;
	gulong finished_handler;
	cb_caller_gone_fn_t gone;
	void *user_data;
};

/* Returns the JSON text of an error, to be freed. */
char *cb_error_text(const cb_caller_error_t *error)
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
 * Whether the request may repeat an earlier one under its idempotency key
 * and is refused before control could say what became of that one.
 */
static gboolean may_have_run_before_(SoupServerMessage *message,
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

/* Answers with an error and counts it. */
void cb_entry_refuse(cb_entry_t *entry, SoupServerMessage *message,
		     const cb_caller_error_t *error)
{
	cb_executed_t executed = error->executed;

	if (executed == CB_EXECUTED_NO &&
	    may_have_run_before_(message, error->refusal))
		executed = CB_EXECUTED_UNKNOWN;
	cb_counter_add(entry->refusals[error->refusal], 1);
	cb_http_reply_error(message, cb_refusal_status[error->refusal],
			    cb_refusal_string[error->refusal],
			    error->detail ? error->detail :
					    cb_refusal_message[error->refusal],
			    executed, error->retry_after_s);
}

static void refuse_(cb_entry_t *entry, SoupServerMessage *message,
		    cb_refusal_t refusal, int64_t retry_after_s)
{
	cb_caller_error_t error = { .refusal = refusal,
				    .executed = CB_EXECUTED_NO,
				    .retry_after_s = retry_after_s };

	cb_entry_refuse(entry, message, &error);
}

/* An ID that is safe in headers, logs and JSON. */
static gboolean id_is_usable_(const char *id)
{
	size_t i;

	for (i = 0; id[i]; i++) {
		if (i == MAX_ID_CHARS || !g_ascii_isgraph(id[i]) ||
		    id[i] == '"' || id[i] == '\\')
			return FALSE;
	}
	return i > 0;
}

/*
 * Names the request.  Callers may repeat an ID of theirs, so that backend
 * servers get one with a part that is drawn here.
 */
static void id_take_(cb_caller_t *caller)
{
	const char *given = soup_message_headers_get_one(
		soup_server_message_get_request_headers(caller->message),
		ID_HEADER);
	char *drawn =
		g_strdup_printf("%08x%08x", g_rand_int(caller->entry->random),
				g_rand_int(caller->entry->random));

	if (given && id_is_usable_(given)) {
		caller->id = g_strdup(given);
		caller->request = g_strdup_printf("%s.%s", given, drawn);
	} else {
		caller->id = g_strdup(drawn);
		caller->request = g_strdup(drawn);
	}
	g_free(drawn);
	soup_message_headers_replace(soup_server_message_get_response_headers(
					     caller->message),
				     ID_HEADER, caller->id);
}

/* Finds the contract that the bearer key names. */
static cb_refusal_t authenticate_(cb_entry_t *entry, SoupServerMessage *message,
				  const cb_contract_t **contract)
{
	const char *authorization = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message),
		"Authorization");

	if (!authorization ||
	    g_ascii_strncasecmp(authorization, BEARER, strlen(BEARER)))
		return CB_REFUSAL_KEY_MISSING;
	*contract = cb_view_contract_by_key(entry->view,
					    authorization + strlen(BEARER));
	return *contract ? CB_REFUSAL_NONE : CB_REFUSAL_KEY_UNKNOWN;
}

/*
 * Takes a caller's request up, or refuses it and returns NULL.  The contract
 * is valid until the view's next update.
 */
cb_caller_t *cb_caller_admit(cb_entry_t *entry, SoupServerMessage *message,
			     const cb_contract_t **contract)
{
	cb_caller_t *caller = g_new0(cb_caller_t, 1);
	cb_refusal_t refusal;

	caller->entry = entry;
	caller->message = g_object_ref(message);
	caller->connection = cb_message_connection(message);
	if (caller->connection)
		g_object_ref(caller->connection);
	id_take_(caller);
	cb_entry_request_begins(entry);
	refusal = cb_entry_readiness(entry);
	if (refusal == CB_REFUSAL_NONE)
		refusal = authenticate_(entry, message, contract);
	if (refusal == CB_REFUSAL_NONE)
		return caller;
	if (refusal == CB_REFUSAL_KEY_MISSING ||
	    refusal == CB_REFUSAL_KEY_UNKNOWN)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"WWW-Authenticate", "Bearer");
	refuse_(entry, message, refusal,
		cb_refusal_status[refusal] == SOUP_STATUS_SERVICE_UNAVAILABLE);
	cb_caller_delete(caller);
	return NULL;
}

/* Deletes the caller's record; NULL is allowed. */
void cb_caller_delete(cb_caller_t *caller)
{
	if (!caller)
		return;
	if (caller->connection)
		cb_connection_unwatch(caller->connection);
	g_clear_object(&caller->connection);
	g_clear_signal_handler(&caller->finished_handler, caller->message);
	cb_ticket_delete(caller->ticket);
	cb_entry_request_ends(caller->entry);
	g_object_unref(caller->message);
	g_free(caller->id);
	g_free(caller->request);
	g_free(caller);
}

static void ticket_changed_(cb_ticket_t *ticket, void *user_data)
{
	cb_caller_t *caller = user_data;

	caller->decided(caller->decided_data, cb_ticket_refusal(ticket),
			cb_ticket_retry_after_s(ticket));
}

/*
 * Submits the request to admission under its contract.  The caller must be
 * suspended, since the decision may come later.
 */
void cb_caller_submit(cb_caller_t *caller,
		      const cb_admission_request_t *request,
		      cb_caller_decided_fn_t decided, void *user_data)
{
	cb_entry_t *entry = caller->entry;

	caller->decided = decided;
	caller->decided_data = user_data;
	cb_share_keeper_refresh(entry->shares, request->contract);
	caller->ticket = cb_admission_submit(entry->admission, request,
					     ticket_changed_, caller);
	if (cb_ticket_state(caller->ticket) != CB_TICKET_WAITING)
		ticket_changed_(caller->ticket, caller);
}

/* Charges tokens that the request has used. */
void cb_caller_charge(cb_caller_t *caller, int64_t tokens)
{
	cb_ticket_charge(caller->ticket, tokens);
}

/* Answers with an error; the answer must not have begun. */
void cb_caller_refuse(cb_caller_t *caller, const cb_caller_error_t *error)
{
	cb_entry_refuse(caller->entry, caller->message, error);
}

static void hung_up_(void *user_data)
{
	cb_caller_t *caller = user_data;
	cb_caller_gone_fn_t gone = caller->gone;

	cb_caller_disconnect(caller);
	gone(caller->user_data);
}

static void finished_(SoupServerMessage *message, void *user_data)
{
	cb_caller_t *caller = user_data;
	cb_caller_gone_fn_t gone = caller->gone;

	(void)message;
	caller->gone = NULL;
	if (gone)
		gone(caller->user_data);
}

/*
 * Holds the answer back until cb_caller_resume().  `gone` is called once the
 * exchange has ended: the caller went away, or its answer is sent.
 */
void cb_caller_suspend(cb_caller_t *caller, cb_caller_gone_fn_t gone,
		       void *user_data)
{
	caller->gone = gone;
	caller->user_data = user_data;
	soup_server_message_pause(caller->message);
	caller->finished_handler =
		g_signal_connect(caller->message, "finished",
				 G_CALLBACK(finished_), caller);
	if (caller->connection)
		cb_connection_watch(caller->connection, hung_up_, caller);
}

/* Lets libsoup write what the answer has so far. */
void cb_caller_resume(cb_caller_t *caller)
{
	soup_server_message_unpause(caller->message);
}

/* Closes the caller's connection at once. */
void cb_caller_disconnect(cb_caller_t *caller)
{
	GIOStream *stream;

	g_clear_signal_handler(&caller->finished_handler, caller->message);
	caller->gone = NULL;
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

/* Returns the request's name, unique among all requests. */
const char *cb_caller_request(const cb_caller_t *caller)
{
	return caller->request;
}

/* Returns the ID that the caller gave, or one that was drawn. */
const char *cb_caller_id(const cb_caller_t *caller)
{
	return caller->id;
}
