#include "private/claims.h"

#include <string.h>

#include "currantbridge/state.h"

/* Must be above 1, so that all expired claims are removed over time. */
#define MAX_REMOVALS_PER_CLAIM 4

typedef struct claim {
	GList link;	   /* link in `running` or `ended` */
	GList answer_link; /* link in `answered` while `answer` is set */
	char *id;	   /* workspace, newline and idempotency key */
	char *change_id; /* change ID of the command that acquired the claim */
	char *digest;	 /* digest of the call */
	char *owner;	 /* holder of the claim, as NAME/INCARNATION */
	char *server;	 /* the backend server of the call, or NULL */
	uint64_t fencing;
	int64_t at_ms; /* state time at which the claim was acquired or ended */
	gboolean is_ended;
	/* Set until the holder has proved that no earlier attempt ran. */
	gboolean must_prove;
	cb_claim_result_t result; /* UNKNOWN while the claim is running */
	GBytes *answer;		  /* the recorded answer, or NULL */
} claim_t;

struct cb_claims {
	GHashTable *by_id; /* claim_t.id to claim_t */
	GQueue running;	   /* claim_t *, by time of acquisition */
	GQueue ended;	   /* claim_t *, by the time at which the claim ended */
	GQueue answered;   /* ended claims that still have their answer */
	int64_t answer_bytes; /* size in bytes of all recorded answers */
	cb_owner_is_running_fn_t owner_is_running;
	void *user_data;
};

static void claim_free_(void *data)
{
	claim_t *claim = data;

	g_free(claim->id);
	g_free(claim->change_id);
	g_free(claim->digest);
	g_free(claim->owner);
	g_free(claim->server);
	g_clear_pointer(&claim->answer, g_bytes_unref);
	g_free(claim);
}

/*
 * Returns a new empty table of claims, which finds out by `owner_is_running`
 * whether a claim's holder can still finish it.
 */
cb_claims_t *cb_claims_new(cb_owner_is_running_fn_t owner_is_running,
			   void *user_data)
{
	cb_claims_t *claims = g_new0(cb_claims_t, 1);

	claims->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      claim_free_);
	g_queue_init(&claims->running);
	g_queue_init(&claims->ended);
	g_queue_init(&claims->answered);
	claims->owner_is_running = owner_is_running;
	claims->user_data = user_data;
	return claims;
}

/* Frees a table of claims; NULL is allowed. */
void cb_claims_delete(cb_claims_t *claims)
{
	if (!claims)
		return;
	g_hash_table_unref(claims->by_id);
	g_free(claims);
}

/* Returns the number of claims, including ended ones. */
size_t cb_claims_count(const cb_claims_t *claims)
{
	return g_hash_table_size(claims->by_id);
}

static char *claim_id_new_(const cb_command_t *command)
{
	return g_strconcat(command->name, "\n", command->key, NULL);
}

static void answer_remove_(cb_claims_t *claims, claim_t *claim)
{
	if (!claim->answer)
		return;
	g_queue_unlink(&claims->answered, &claim->answer_link);
	claims->answer_bytes -= g_bytes_get_size(claim->answer);
	g_clear_pointer(&claim->answer, g_bytes_unref);
}

static void answer_record_(cb_claims_t *claims, claim_t *claim, GBytes *answer)
{
	claim_t *oldest;

	answer_remove_(claims, claim);
	if (!answer || g_bytes_get_size(answer) > CB_CLAIM_ANSWER_MAX_BYTES)
		return;
	claim->answer = g_bytes_ref(answer);
	claims->answer_bytes += g_bytes_get_size(answer);
	g_queue_push_tail_link(&claims->answered, &claim->answer_link);
	while (claims->answer_bytes > CB_STATE_CLAIM_ANSWERS_MAX_BYTES) {
		oldest = claims->answered.head->data;
		answer_remove_(claims, oldest);
	}
}

static void claim_unlink_(cb_claims_t *claims, claim_t *claim)
{
	g_queue_unlink(claim->is_ended ? &claims->ended : &claims->running,
		       &claim->link);
}

static void claim_link_(cb_claims_t *claims, claim_t *claim)
{
	g_queue_push_tail_link(claim->is_ended ? &claims->ended :
						 &claims->running,
			       &claim->link);
}

static void claim_remove_(cb_claims_t *claims, claim_t *claim)
{
	answer_remove_(claims, claim);
	claim_unlink_(claims, claim);
	g_hash_table_remove(claims->by_id, claim->id);
}

static void claim_end_(cb_claims_t *claims, claim_t *claim,
		       cb_claim_result_t result, int64_t at_ms)
{
	claim_unlink_(claims, claim);
	claim->is_ended = TRUE;
	claim->result = result;
	claim->at_ms = at_ms;
	claim_link_(claims, claim);
}

/*
 * Removes some of the ended claims that are past their retention, which is
 * shorter when the table is full.
 */
static void ended_claims_trim_(cb_claims_t *claims, int64_t at_ms)
{
	int removals;

	for (removals = 0;
	     removals < MAX_REMOVALS_PER_CLAIM && claims->ended.head;
	     removals++) {
		claim_t *oldest = claims->ended.head->data;
		int64_t age_ms = at_ms - oldest->at_ms;
		gboolean is_full =
			cb_claims_count(claims) >= CB_STATE_CLAIM_MAX_COUNT;

		if (age_ms < (is_full ? CB_STATE_CLAIM_MIN_RETENTION_MS :
					CB_STATE_CLAIM_RETENTION_MS))
			return;
		claim_remove_(claims, oldest);
	}
}

static cb_answer_t *claim_answer_new_(cb_answer_kind_t kind,
				      const claim_t *claim)
{
	cb_answer_t *answer = cb_answer_new(kind);

	answer->fencing = claim->fencing;
	answer->owner = g_strdup(claim->owner);
	answer->server = g_strdup(claim->server);
	answer->must_prove = kind == CB_ANSWER_CLAIMED && claim->must_prove;
	answer->result = claim->result;
	if (kind == CB_ANSWER_FINISHED && claim->answer)
		answer->answer = g_bytes_ref(claim->answer);
	return answer;
}

/* Assigns the claim to the command's owner with a new fencing number. */
static void claim_assign_(cb_claims_t *claims, claim_t *claim,
			  const cb_command_t *command, uint64_t fencing,
			  int64_t at_ms)
{
	g_free(claim->change_id);
	g_free(claim->owner);
	g_free(claim->server);
	claim->change_id = g_strdup(command->change_id);
	claim->owner = g_strdup(command->owner);
	claim->server = g_strdup(command->server);
	claim->fencing = fencing;
	claim->at_ms = at_ms;
	claim->is_ended = FALSE;
	claim->result = CB_CLAIM_RESULT_UNKNOWN;
	claim_link_(claims, claim);
}

static cb_answer_t *claim_create_(cb_claims_t *claims,
				  const cb_command_t *command, uint64_t fencing,
				  int64_t at_ms)
{
	claim_t *claim;

	if (cb_claims_count(claims) >= CB_STATE_CLAIM_MAX_COUNT)
		return cb_answer_new(CB_ANSWER_FULL);
	claim = g_new0(claim_t, 1);
	claim->link.data = claim;
	claim->answer_link.data = claim;
	claim->id = claim_id_new_(command);
	claim->digest = g_strdup(command->digest);
	g_hash_table_insert(claims->by_id, claim->id, claim);
	claim_assign_(claims, claim, command, fencing, at_ms);
	return claim_answer_new_(CB_ANSWER_CLAIMED, claim);
}

/*
 * Assigns an ended claim to a new holder.  If the outcome of the last attempt
 * is unknown, the claim keeps naming that attempt's server until the new holder
 * has proved that this server did not run the call.
 */
static cb_answer_t *claim_reassign_(cb_claims_t *claims, claim_t *claim,
				    const cb_command_t *command,
				    uint64_t fencing, int64_t at_ms)
{
	char *server;

	claim->must_prove = claim->result == CB_CLAIM_RESULT_UNKNOWN;
	server = claim->must_prove ? g_strdup(claim->server) :
				     g_strdup(command->server);
	claim_unlink_(claims, claim);
	claim_assign_(claims, claim, command, fencing, at_ms);
	g_free(claim->server);
	claim->server = server;
	return claim_answer_new_(CB_ANSWER_CLAIMED, claim);
}

/* Answers a claim command for a claim that is still held. */
static cb_answer_t *running_claim_answer_(claim_t *claim,
					  const cb_command_t *command)
{
	cb_answer_t *answer;

	if (claim->fencing == command->fencing &&
	    !strcmp(claim->owner, command->owner)) {
		/*
		 * The holder names another server, or has proved that the
		 * earlier attempt did not run.
		 */
		claim->must_prove = FALSE;
		g_free(claim->server);
		claim->server = g_strdup(command->server);
		return claim_answer_new_(CB_ANSWER_CLAIMED, claim);
	}
	if (g_strcmp0(claim->change_id, command->change_id))
		return claim_answer_new_(CB_ANSWER_RUNNING, claim);
	answer = claim_answer_new_(CB_ANSWER_CLAIMED, claim);
	answer->is_replayed = TRUE;
	return answer;
}

/*
 * Acquires a claim for the command's owner, or answers why it cannot; the
 * caller deletes the answer.  `fencing` is the command's log index, `at_ms`
 * the state time.  A claim whose holder no longer runs counts as ended with an
 * unknown result.
 */
cb_answer_t *cb_claims_acquire(cb_claims_t *claims, const cb_command_t *command,
			       uint64_t fencing, int64_t at_ms)
{
	gboolean is_resend;
	claim_t *claim;
	char *id;

	ended_claims_trim_(claims, at_ms);
	id = claim_id_new_(command);
	claim = g_hash_table_lookup(claims->by_id, id);
	g_free(id);
	if (!claim)
		return claim_create_(claims, command, fencing, at_ms);
	if (strcmp(claim->digest, command->digest) != 0)
		return claim_answer_new_(CB_ANSWER_DIGEST_DIFFERS, claim);
	if (!claim->is_ended &&
	    !claims->owner_is_running(claim->owner, claims->user_data))
		claim_end_(claims, claim, CB_CLAIM_RESULT_UNKNOWN, at_ms);
	if (!claim->is_ended)
		return running_claim_answer_(claim, command);
	is_resend = !g_strcmp0(claim->change_id, command->change_id);
	if (!is_resend && (claim->result == CB_CLAIM_RESULT_NOT_EXECUTED ||
			   (claim->result == CB_CLAIM_RESULT_UNKNOWN &&
			    command->proves_by_fencing)))
		return claim_reassign_(claims, claim, command, fencing, at_ms);
	return claim_answer_new_(CB_ANSWER_FINISHED, claim);
}

/*
 * Records the outcome of a claim at state time `at_ms`; the caller deletes the
 * answer.  Only the holder of the latest fencing number may do so.  An unknown
 * result may be replaced by a known one; a known result never changes.
 */
cb_answer_t *cb_claims_finish(cb_claims_t *claims, const cb_command_t *command,
			      int64_t at_ms)
{
	char *id = claim_id_new_(command);
	claim_t *claim = g_hash_table_lookup(claims->by_id, id);

	g_free(id);
	if (!claim)
		return cb_answer_new(CB_ANSWER_NOT_FOUND);
	if (claim->fencing != command->fencing)
		return claim_answer_new_(CB_ANSWER_CONFLICT, claim);
	if (claim->is_ended && claim->result == command->result)
		return claim_answer_new_(CB_ANSWER_OK, claim);
	if (claim->is_ended && claim->result != CB_CLAIM_RESULT_UNKNOWN)
		return claim_answer_new_(CB_ANSWER_CONFLICT, claim);
	claim_end_(claims, claim, command->result, at_ms);
	answer_record_(claims, claim,
		       command->result == CB_CLAIM_RESULT_EXECUTED ?
			       command->payload :
			       NULL);
	return claim_answer_new_(CB_ANSWER_OK, claim);
}

static void claim_pack_(const claim_t *claim, cb_pack_t *pack)
{
	cb_pack_array(pack, 11);
	cb_pack_string(pack, claim->id);
	cb_pack_string(pack, claim->change_id);
	cb_pack_string(pack, claim->digest);
	cb_pack_string(pack, claim->owner);
	cb_pack_string(pack, claim->server);
	cb_pack_uint(pack, claim->fencing);
	cb_pack_int(pack, claim->at_ms);
	cb_pack_bool(pack, claim->is_ended);
	cb_pack_bool(pack, claim->must_prove);
	cb_pack_uint(pack, claim->result);
	cb_pack_bytes(pack, claim->answer);
}

/*
 * Packs all claims for a snapshot: the running ones, then the ended ones, each
 * in order of time.
 */
void cb_claims_pack(const cb_claims_t *claims, cb_pack_t *pack)
{
	const GList *link;

	cb_pack_array(pack, cb_claims_count(claims));
	for (link = claims->running.head; link; link = link->next)
		claim_pack_(link->data, pack);
	for (link = claims->ended.head; link; link = link->next)
		claim_pack_(link->data, pack);
}

static claim_t *claim_read_(const msgpack_object *object)
{
	claim_t *claim = g_new0(claim_t, 1);
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	claim->link.data = claim;
	claim->answer_link.data = claim;
	claim->id = cb_fields_required_string(&fields);
	claim->change_id = cb_fields_string(&fields);
	claim->digest = cb_fields_required_string(&fields);
	claim->owner = cb_fields_required_string(&fields);
	claim->server = cb_fields_string(&fields);
	claim->fencing = cb_fields_uint(&fields);
	claim->at_ms = cb_fields_int(&fields);
	claim->is_ended = cb_fields_bool(&fields);
	claim->must_prove = cb_fields_bool(&fields);
	claim->result = cb_fields_enum(&fields, CB_CLAIM_RESULT_COUNT);
	claim->answer = cb_fields_bytes(&fields);
	if (!cb_fields_are_complete(&fields))
		g_clear_pointer(&claim, claim_free_);
	return claim;
}

/*
 * Adds the claims that cb_claims_pack() packed; returns FALSE if they are
 * malformed.
 */
gboolean cb_claims_read(cb_claims_t *claims, const msgpack_object *object)
{
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	while (fields.unread_count) {
		claim_t *claim = claim_read_(cb_fields_object(&fields));
		GBytes *answer;

		if (!claim)
			return FALSE;
		if (g_hash_table_contains(claims->by_id, claim->id)) {
			claim_free_(claim);
			return FALSE;
		}
		answer = g_steal_pointer(&claim->answer);
		g_hash_table_insert(claims->by_id, claim->id, claim);
		claim_link_(claims, claim);
		answer_record_(claims, claim, answer);
		g_clear_pointer(&answer, g_bytes_unref);
	}
	return cb_fields_are_complete(&fields);
}
