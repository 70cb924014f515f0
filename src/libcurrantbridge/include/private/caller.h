#ifndef PRIVATE_CALLER_H
#define PRIVATE_CALLER_H

#include "private/entry.h"

/* One request of a caller, with its HTTP message, IDs and admission ticket. */
typedef struct cb_caller cb_caller_t;

/*
 * Called once when the exchange has ended: the answer is sent or the caller
 * has disconnected, but not after cb_caller_disconnect().  The callee must
 * delete the caller.
 */
typedef void (*cb_caller_ended_fn_t)(void *user_data);

/* An error answer to a caller. */
typedef struct cb_caller_error {
	cb_refusal_t refusal;
	/* Text of the error; NULL: the text of `refusal` is used. */
	const char *detail;
	cb_executed_t executed;
	/* Value of the Retry-After header; 0: no such header. */
	int64_t retry_after_s;
} cb_caller_error_t;

void cb_entry_refuse(cb_entry_t *entry, SoupServerMessage *message,
		     const cb_caller_error_t *error);
cb_caller_t *cb_caller_accept(cb_entry_t *entry, SoupServerMessage *message,
			      const cb_contract_t **contract);
void cb_caller_delete(cb_caller_t *caller);

/*
 * Called once with the decision whether the request may begin, possibly
 * before cb_caller_submit() returns.  With a refusal, `retry_after_s` is the
 * number of seconds after which a retry may succeed.
 */
typedef void (*cb_caller_decided_fn_t)(void *user_data, cb_refusal_t refusal,
				       int64_t retry_after_s);
void cb_caller_submit(cb_caller_t *caller,
		      const cb_admission_request_t *request,
		      cb_caller_decided_fn_t decided, void *user_data);
void cb_caller_charge(cb_caller_t *caller, int64_t tokens);
void cb_caller_refuse(cb_caller_t *caller, const cb_caller_error_t *error);
void cb_caller_suspend(cb_caller_t *caller, cb_caller_ended_fn_t ended,
		       void *user_data);
void cb_caller_resume(cb_caller_t *caller);
void cb_caller_disconnect(cb_caller_t *caller);

SoupServerMessage *cb_caller_message(const cb_caller_t *caller);
cb_entry_t *cb_caller_entry(const cb_caller_t *caller);
const char *cb_caller_unique_id(const cb_caller_t *caller);
const char *cb_caller_public_id(const cb_caller_t *caller);

char *cb_caller_error_json(const cb_caller_error_t *error);

#endif
