#ifndef PRIVATE_ENTRY_H
#define PRIVATE_ENTRY_H

#include "currantbridge/admission.h"
#include "currantbridge/call.h"
#include "currantbridge/entry.h"
#include "currantbridge/generation.h"
#include "private/share_keeper.h"

/* The state that the request handlers of an entry instance share. */
struct cb_entry {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_http_server_t *http;
	cb_control_client_t *control;
	cb_view_t *view;
	char *name;
	char *address;
	char *data_centre;
	char *owner; /* NAME/INCARNATION of this instance */
	cb_entry_options_t options;
	GRand *random;
	cb_server_registry_t *registry;
	cb_share_keeper_t *share_keeper;
	cb_admission_t *admission;
	cb_engine_client_t *engine_client;
	cb_service_client_t *service_client;
	cb_ledger_t *ledger;
	cb_generation_env_t *generation_env;
	cb_call_env_t *call_env;
	cb_counter_t *refusal_counters[CB_REFUSAL_COUNT];
	cb_counter_t *request_counter;
	cb_counter_t *token_counter;
	cb_counter_t *abandoned_counter;
	cb_counter_t *open_requests_gauge;
	int64_t open_requests; /* number of callers' requests in flight */
	gboolean is_draining;
	/* Number of checks for unrecorded ends of calls. */
	unsigned int record_checks;
	/* Whether the instance drains and the address TTL has expired. */
	gboolean is_refusing;
	/*
	 * During a drain: expires after the address TTL, then for each record
	 * check.
	 */
	cb_timer_t *drain_timer;
	/* Buffer for the text of one event, reused for the next event. */
	GString *event_buffer;
};

/* Handles an HTTP request; `path` is what follows the route's path. */
typedef void (*cb_entry_handler_t)(cb_entry_t *entry,
				   SoupServerMessage *message, const char *path,
				   GHashTable *query);

void cb_completions_handle(cb_entry_t *entry, SoupServerMessage *message,
			   const char *path, GHashTable *query);
void cb_chat_completions_handle(cb_entry_t *entry, SoupServerMessage *message,
				const char *path, GHashTable *query);
void cb_service_calls_handle(cb_entry_t *entry, SoupServerMessage *message,
			     const char *path, GHashTable *query);
void cb_addresses_handle(cb_entry_t *entry, SoupServerMessage *message,
			 const char *path, GHashTable *query);
void cb_announce_handle(cb_entry_t *entry, SoupServerMessage *message,
			const char *path, GHashTable *query);

void cb_addresses_append(GString *text, const GPtrArray *instances);
void cb_entry_answer_json(SoupServerMessage *message, GString *text);
cb_refusal_t cb_entry_check_ready(const cb_entry_t *entry);
void cb_entry_request_begin(cb_entry_t *entry);
void cb_entry_request_end(cb_entry_t *entry);
cb_ledger_t *cb_control_ledger_new(cb_control_client_t *control);
void cb_control_ledger_delete(cb_ledger_t *ledger);

#endif
