#ifndef PRIVATE_CALLER_H
#define PRIVATE_CALLER_H

#include "private/entry.h"

/* One request of a caller: who asks, what it is told, whether it is gone. */
typedef struct cb_caller cb_caller_t;

/* The caller has gone; whoever is told deletes the caller. */
typedef void (*cb_caller_gone_fn_t)(void *user_data);

/* What a refusal tells beside its reason. */
typedef struct cb_caller_error {
	cb_refusal_t refusal;
	const char *detail; /* NULL: the reason's own message */
	cb_executed_t executed;
	int64_t retry_after_s; /* 0: none */
} cb_caller_error_t;

void cb_entry_refuse(cb_entry_t *entry, SoupServerMessage *message,
		     const cb_caller_error_t *error);
cb_caller_t *cb_caller_admit(cb_entry_t *entry, SoupServerMessage *message,
			     const cb_contract_t **contract);
void cb_caller_delete(cb_caller_t *caller);

/*
 * Told once whether the request may begin, perhaps before the submission
 * returns; under a refusal with the seconds until another try is worth it.
 */
typedef void (*cb_caller_decided_fn_t)(void *user_data, cb_refusal_t refusal,
				       int64_t retry_after_s);
void cb_caller_submit(cb_caller_t *caller,
		      const cb_admission_request_t *request,
		      cb_caller_decided_fn_t decided, void *user_data);
void cb_caller_charge(cb_caller_t *caller, int64_t tokens);
void cb_caller_refuse(cb_caller_t *caller, const cb_caller_error_t *error);
void cb_caller_suspend(cb_caller_t *caller, cb_caller_gone_fn_t gone,
		       void *user_data);
void cb_caller_resume(cb_caller_t *caller);
void cb_caller_disconnect(cb_caller_t *caller);

SoupServerMessage *cb_caller_message(const cb_caller_t *caller);
cb_entry_t *cb_caller_entry(const cb_caller_t *caller);
const char *cb_caller_request(const cb_caller_t *caller);
const char *cb_caller_id(const cb_caller_t *caller);

char *cb_error_text(const cb_caller_error_t *error);

#endif
