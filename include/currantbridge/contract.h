#ifndef CURRANTBRIDGE_CONTRACT_H
#define CURRANTBRIDGE_CONTRACT_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

/*
 * The limits and permissions that the operators set for a workspace.  Every
 * limit applied to its callers follows from its contract alone.
 */
#define CB_CONTRACT_WORKSPACE_MAX_CHARS 64
#define CB_CONTRACT_KEY_MAX_CHARS 256
#define CB_CONTRACT_MAX_KEYS 64
#define CB_CONTRACT_MAX_MODELS 64
#define CB_CONTRACT_MAX_SERVICES 64
#define CB_CONTRACT_MAX_RATE_PER_S 1000000000
#define CB_CONTRACT_MAX_TEXT_BYTES 65536

typedef struct cb_contract_service {
	char *name;
	gboolean is_idempotent;
} cb_contract_service_t;

typedef struct cb_contract {
	char *workspace;
	/* bearer keys of the workspace's callers; NULL-terminated */
	char **keys;
	/* models that the workspace's callers may use; NULL-terminated */
	char **models;
	cb_contract_service_t *services;
	size_t service_count;
	int64_t guaranteed_tokens_per_s;
	int64_t ceiling_tokens_per_s;
	int64_t guaranteed_requests_per_s;
	int64_t ceiling_requests_per_s;
	int64_t concurrent_requests;
	/* priority of the workspace, 0 to 9; higher is served first */
	int64_t priority;
	int64_t deadline_ms;
	uint64_t revision; /* revision at which the contract was last stored */
	/* the contract as canonical JSON: every field, defaults included */
	char *text;
} cb_contract_t;

typedef enum cb_contract_error {
	CB_CONTRACT_ERROR_SYNTAX, /* the text is not one JSON object */
	CB_CONTRACT_ERROR_FIELD,  /* a field is missing or invalid */
} cb_contract_error_t;

#define CB_CONTRACT_ERROR cb_contract_error_quark()
GQuark cb_contract_error_quark(void);

/*
 * Returns NULL if the text is invalid; the error's message is then
 * `contract: FIELD: REASON`.
 */
cb_contract_t *cb_contract_parse(const char *text, GError **error);
/* Parses a text that is canonical already; NULL if it is invalid. */
cb_contract_t *cb_contract_parse_canonical(const char *text);
void cb_contract_delete(cb_contract_t *contract);
gboolean cb_contract_has_model(const cb_contract_t *contract,
			       const char *model);
const cb_contract_service_t *cb_contract_find_service(
	const cb_contract_t *contract, const char *name);

#endif
