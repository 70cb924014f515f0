#ifndef PRIVATE_ENTRY_H
#define PRIVATE_ENTRY_H

#include "currantbridge/admission.h"
#include "currantbridge/call.h"
#include "currantbridge/entry.h"
#include "currantbridge/generation.h"
#include "private/share_keeper.h"

/* What the handlers of an entry instance share. */
struct cb_entry {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_http_server_t *http;
	cb_control_client_t *control;
	cb_view_t *view;
	char *name;
	char *address;
	char *data_centre;
	char *owner; /* the name with the incarnation */
	cb_entry_options_t options;
	GRand *random;
	cb_server_registry_t *registry;
	cb_share_keeper_t *shares;
	cb_admission_t *admission;
	cb_engine_client_t *engines;
	cb_service_client_t *services;
	cb_ledger_t *ledger;
	cb_generation_env_t *generations;
	cb_call_env_t *calls;
	cb_counter_t *refusals[CB_REFUSAL_COUNT];
	cb_counter_t *requests;
	cb_counter_t *tokens;
	cb_counter_t *abandoned;
	cb_counter_t *open_gauge;
	int64_t open; /* callers' requests under way */
	gboolean is_draining;
	unsigned int record_checks; /* while ends are being recorded */
	gboolean is_refusing; /* draining, and the addresses' TTL is over */
	cb_timer_t *ttl_timer;
	GString *scratch; /* for the text of one event */
};

/* A call's handler; `path` is what follows the path that it was added for. */
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
cb_refusal_t cb_entry_readiness(const cb_entry_t *entry);
void cb_entry_request_begins(cb_entry_t *entry);
void cb_entry_request_ends(cb_entry_t *entry);
cb_ledger_t *cb_control_ledger_new(cb_control_client_t *control);
void cb_control_ledger_delete(cb_ledger_t *ledger);

#endif
