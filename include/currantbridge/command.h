#ifndef CURRANTBRIDGE_COMMAND_H
#define CURRANTBRIDGE_COMMAND_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/view.h"

/* The commands of the replicated log and the answers to them. */

/*
 * Maximum size of a recorded answer; of a longer one, only the outcome is
 * recorded.
 */
#define CB_CLAIM_ANSWER_MAX_BYTES 65536
/* The maximum length of a change ID, idempotency key, digest or name. */
#define CB_COMMAND_TEXT_MAX_BYTES 256

typedef enum cb_command_kind {
	CB_COMMAND_CONTRACT_PUT,
	CB_COMMAND_CONTRACT_REMOVE,
	CB_COMMAND_STOP_ANNOUNCE,
	CB_COMMAND_STOP_CANCEL,
	CB_COMMAND_INSTANCE_UP,
	CB_COMMAND_INSTANCE_STATE,
	CB_COMMAND_QUARANTINE_ADD,
	CB_COMMAND_QUARANTINE_REMOVE,
	/* Backend server `server` died while running request digest `name`. */
	CB_COMMAND_SUSPECT_ADD,
	CB_COMMAND_CLAIM,
	CB_COMMAND_CLAIM_FINISH,
	/* Stores the record of backend server `name`. */
	CB_COMMAND_SERVER_NOTE,
	CB_COMMAND_SERVER_FORGET,
	/* Stores the configuration document of version `document_version`. */
	CB_COMMAND_DOCUMENT_PUT,
	CB_COMMAND_KIND_COUNT
} cb_command_kind_t;

extern const char *const cb_command_kind_string[CB_COMMAND_KIND_COUNT];

/* The outcome of a claimed call, as reported by the entry instance. */
typedef enum cb_claim_result {
	/* The call provably did not run: its key can be claimed again. */
	CB_CLAIM_RESULT_NOT_EXECUTED,
	CB_CLAIM_RESULT_EXECUTED,
	CB_CLAIM_RESULT_UNKNOWN,
	CB_CLAIM_RESULT_COUNT
} cb_claim_result_t;

extern const char *const cb_claim_result_string[CB_CLAIM_RESULT_COUNT];

typedef struct cb_command {
	cb_command_kind_t kind;
	/*
	 * Identifies the change across resends, each of which gets the first
	 * answer. NULL: the command has no change ID.
	 */
	char *change_id;
	/* Whether a revision is expected; only in operators' changes. */
	gboolean has_expected_revision;
	/* Revision that the item must have; 0: it must not exist. */
	uint64_t expected_revision;
	/* The leader's wall clock when it proposed the command. */
	int64_t wall_ms;
	/*
	 * Name of the workspace, server or instance, or the digest, that the
	 * command applies to.
	 */
	char *name;
	/*
	 * A contract's JSON text.  In SERVER_FORGET: the name under which a
	 * stop of the server was announced, or NULL.
	 */
	char *text;
	int64_t document_version;
	cb_stop_kind_t stop_kind;
	char *address;
	char *data_centre;
	uint64_t incarnation;
	cb_instance_state_t instance_state;
	/* Wall clock time at which the quarantine ends. */
	int64_t until_wall_ms;
	/* The idempotency key of a claim; `name` is the workspace. */
	char *key;
	char *digest; /* hex hash of the call's method, path and body */
	/* The claiming or reporting entry instance, as NAME/INCARNATION. */
	char *owner;
	/*
	 * The backend server that will run the call, or NULL.  In SUSPECT_ADD:
	 * the server that died, and perhaps details after a space; with details
	 * a server is recorded once, whoever reports it.
	 */
	char *server;
	/*
	 * The fencing number of the claim to finish.  In a CLAIM by the
	 * current holder: the claim moves to another server, because the
	 * server named before provably did not run the call.
	 */
	uint64_t fencing;
	/*
	 * Set if the claimant fences an earlier attempt of unknown outcome
	 * before it sends its own call; the server's answer to the fence query
	 * shows whether it executed that attempt.
	 */
	gboolean proves_by_fencing;
	cb_claim_result_t result;
	/*
	 * By kind: the answer to record for a finished claim, NULL if it is
	 * too long; a server's record; or a document that cb_document_pack()
	 * encoded.
	 */
	GBytes *payload;
} cb_command_t;

typedef enum cb_answer_kind {
	CB_ANSWER_OK,
	/* The revision, incarnation or fencing number is not current. */
	CB_ANSWER_CONFLICT,
	CB_ANSWER_INVALID,
	CB_ANSWER_NOT_FOUND,
	/* Answers to a claim: */
	CB_ANSWER_CLAIMED, /* the claimant may run the call with `fencing` */
	CB_ANSWER_RUNNING, /* another attempt holds the claim */
	/* The call has ended: see `result` and the recorded `answer`. */
	CB_ANSWER_FINISHED,
	CB_ANSWER_DIGEST_DIFFERS, /* the key was used for another call */
	CB_ANSWER_FULL, /* the table of claims is full; nothing was recorded */
	CB_ANSWER_KIND_COUNT
} cb_answer_kind_t;

extern const char *const cb_answer_kind_string[CB_ANSWER_KIND_COUNT];

typedef struct cb_answer {
	cb_answer_kind_t kind;
	/* The item's revision after the command, or its current one. */
	uint64_t revision;
	/* In a CONFLICT, the revision that the command expected. */
	uint64_t expected_revision;
	char *message;	  /* why the command was refused, or NULL */
	uint64_t fencing; /* the fencing number of the claim */
	char *owner;	  /* the holder of the claim */
	/*
	 * The backend server that the claim names; with `must_prove` the
	 * server of the earlier attempt.
	 */
	char *server;
	/*
	 * Only with CLAIMED: an earlier attempt may have been executed. The
	 * call must not be sent until fencing has proved that the attempt was
	 * not.
	 */
	gboolean must_prove;
	cb_claim_result_t result;
	GBytes *answer;
	/*
	 * Set if the command was a resend, which gets the first answer again.
	 */
	gboolean is_replayed;
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
