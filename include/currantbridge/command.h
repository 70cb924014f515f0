#ifndef CURRANTBRIDGE_COMMAND_H
#define CURRANTBRIDGE_COMMAND_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/view.h"

/* The commands of the replicated log, and their answers, as typed values. */

/* A longer recorded answer is left out: only its outcome is kept. */
#define CB_CLAIM_ANSWER_MAX_BYTES 65536
/* The longest change ID, idempotency key, digest and name. */
#define CB_COMMAND_TEXT_MAX_CHARS 256

typedef enum cb_command_kind {
	CB_COMMAND_CONTRACT_PUT,
	CB_COMMAND_CONTRACT_REMOVE,
	CB_COMMAND_STOP_ANNOUNCE,
	CB_COMMAND_STOP_CANCEL,
	CB_COMMAND_INSTANCE_UP,
	CB_COMMAND_INSTANCE_STATE,
	CB_COMMAND_QUARANTINE_ADD,
	CB_COMMAND_QUARANTINE_REMOVE,
	CB_COMMAND_SUSPECT_ADD, /* digest `name` was running as `server` died */
	CB_COMMAND_CLAIM,
	CB_COMMAND_CLAIM_FINISH,
	CB_COMMAND_SERVER_NOTE, /* `answer`: the record of server `name` */
	CB_COMMAND_SERVER_FORGET,
	/* `answer`: from cb_document_pack(), under `document_version` */
	CB_COMMAND_DOCUMENT_PUT,
	CB_COMMAND_KIND_COUNT
} cb_command_kind_t;

extern const char *const cb_command_kind_string[CB_COMMAND_KIND_COUNT];

/* How a claimed call ended, as the entry instance that ran it knows. */
typedef enum cb_claim_result {
	CB_CLAIM_RESULT_NOT_EXECUTED, /* proved: the claim is given back */
	CB_CLAIM_RESULT_EXECUTED,
	CB_CLAIM_RESULT_UNKNOWN,
	CB_CLAIM_RESULT_COUNT
} cb_claim_result_t;

extern const char *const cb_claim_result_string[CB_CLAIM_RESULT_COUNT];

typedef struct cb_command {
	cb_command_kind_t kind;
	/* Names the change across resends; its first answer is kept. */
	char *change_id;
	/* Operators' changes only: 0 asks for an absent item. */
	gboolean has_expected_revision;
	uint64_t expected_revision;
	/* Stamped by the leader that proposes it. */
	int64_t wall_ms;
	char *name; /* workspace, server, instance or digest */
	char *text; /* a contract's JSON text */
	int64_t document_version;
	cb_stop_kind_t stop_kind;
	char *address;
	char *data_centre;
	uint64_t incarnation;
	cb_instance_state_t instance_state;
	int64_t until_wall_ms;
	/* Claims: name is the workspace. */
	char *key;
	char *digest; /* of method, path and body, as hex */
	char *owner;  /* the claiming entry instance: NAME/INCARNATION */
	char *server; /* the backend server that will run it, or NULL */
	/*
	 * Of the claim that is finished.  A CLAIM by the holder itself that
	 * gives its fencing number only names another server; it says that
	 * the server named before surely did not run the call.
	 */
	uint64_t fencing;
	/*
	 * The claimant will ask the server by fencing whether an earlier
	 * attempt of unknown outcome was executed, before it runs anything.
	 */
	gboolean proves_by_fencing;
	cb_claim_result_t result;
	/*
	 * A recorded answer, NULL when over the size bound; a server's
	 * record; or a document.
	 */
	GBytes *answer;
} cb_command_t;

typedef enum cb_answer_kind {
	CB_ANSWER_OK,
	CB_ANSWER_CONFLICT, /* the expected revision is not the present one */
	CB_ANSWER_INVALID,
	CB_ANSWER_NOT_FOUND,
	/* Answers to a claim. */
	CB_ANSWER_CLAIMED,  /* run it, with `fencing` */
	CB_ANSWER_RUNNING,  /* another attempt holds the claim */
	CB_ANSWER_FINISHED, /* `result` and the recorded `answer` */
	CB_ANSWER_DIGEST_DIFFERS,
	CB_ANSWER_FULL, /* no room for a claim; nothing was recorded */
	CB_ANSWER_KIND_COUNT
} cb_answer_kind_t;

extern const char *const cb_answer_kind_string[CB_ANSWER_KIND_COUNT];

typedef struct cb_answer {
	cb_answer_kind_t kind;
	/* Of the item named: the new one, or under a conflict the present. */
	uint64_t revision;
	uint64_t expected_revision;
	char *message;
	uint64_t fencing;
	char *owner;
	/*
	 * The backend server that the claim names; under `must_prove` the one
	 * of the earlier attempt.
	 */
	char *server;
	/*
	 * Of CLAIMED: an earlier attempt may have been executed.  Nothing may
	 * run before fencing has proved that it was not.
	 */
	gboolean must_prove;
	cb_claim_result_t result;
	GBytes *answer;
	gboolean is_replayed; /* a resend of a change ID answered before */
} cb_answer_t;

cb_command_t *cb_command_new(cb_command_kind_t kind);
void cb_command_delete(cb_command_t *command);
GBytes *cb_command_encode(const cb_command_t *command);
cb_command_t *cb_command_decode(GBytes *bytes);

cb_answer_t *cb_answer_new(cb_answer_kind_t kind);
void cb_answer_delete(cb_answer_t *answer);
GBytes *cb_answer_encode(const cb_answer_t *answer);
cb_answer_t *cb_answer_decode(GBytes *bytes);

#endif
