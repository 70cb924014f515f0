#ifndef CURRANTBRIDGE_PRIVATE_REPLICA_MESSAGE_H
#define CURRANTBRIDGE_PRIVATE_REPLICA_MESSAGE_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/storage.h"

/* The messages between the members of a replicated log. */
typedef enum cb_message_kind {
	CB_MESSAGE_VOTE_REQUEST,
	CB_MESSAGE_VOTE_REPLY,
	CB_MESSAGE_APPEND,
	CB_MESSAGE_APPEND_REPLY,
	CB_MESSAGE_SNAPSHOT,
	CB_MESSAGE_SNAPSHOT_REPLY,
	CB_MESSAGE_TAKE_OVER,
	CB_MESSAGE_PROBE,
	CB_MESSAGE_PROBE_REPLY,
	CB_MESSAGE_KIND_COUNT
} cb_message_kind_t;

extern const char *const cb_message_kind_string[CB_MESSAGE_KIND_COUNT];

typedef struct cb_vote_request {
	gboolean is_pre_vote;  /* set: `term` is the next term */
	gboolean is_hand_over; /* the leader requested the election */
	uint64_t last_index;   /* last index of the candidate's log */
	uint64_t last_term;    /* term of the record at `last_index` */
} cb_vote_request_t;

typedef struct cb_vote_reply {
	gboolean is_pre_vote;
	gboolean is_granted;
	uint64_t request_term; /* the term of the vote request */
} cb_vote_reply_t;

typedef struct cb_append {
	uint64_t prev_index; /* index of the record before `records` */
	uint64_t prev_term;
	uint64_t committed; /* the leader's commit index */
	uint64_t round;	    /* number of the latest read confirmation */
	GPtrArray *records; /* cb_record_t * */
} cb_append_t;

typedef struct cb_append_reply {
	gboolean is_accepted;
	/*
	 * prev_index of the append; equal to `index` if no append is
	 * answered.
	 */
	uint64_t prev_index;
	/*
	 * Accepted: the last index that is durable at the follower and equal to
	 * the leader's log; rejected: the prev_index to try next.
	 */
	uint64_t index;
	uint64_t round; /* round of the latest append; 0 if its term was old */
} cb_append_reply_t;

/* One chunk of a snapshot. */
typedef struct cb_snapshot_chunk {
	uint64_t index; /* the last index that the snapshot covers */
	uint64_t index_term;
	uint64_t size;	 /* bytes of the whole snapshot data */
	uint64_t offset; /* offset of this chunk in the data, in bytes */
	uint64_t digest; /* digest of the whole snapshot data */
	GBytes *members;
	GBytes *data; /* data of this chunk */
} cb_snapshot_chunk_t;

typedef struct cb_snapshot_reply {
	uint64_t index;
	uint64_t offset; /* offset of the next chunk to send, in bytes */
	gboolean is_stored;
} cb_snapshot_reply_t;

typedef struct cb_probe_reply {
	gboolean is_blank; /* the member has no member list and no records */
	uint64_t initial_digest; /* digest of the configured initial members */
	char *group_id; /* ID of the member's group; empty on a blank disk */
} cb_probe_reply_t;

/*
 * Members are identified by their disk IDs: a message contains the ID of the
 * sender's disk and that of the receiver's (empty if the sender does not know
 * it).
 */
typedef struct cb_message {
	cb_message_kind_t kind;
	uint64_t term;
	char *from_disk;
	char *to_disk;
	char *from_address;
	union {
		cb_vote_request_t vote_request;
		cb_vote_reply_t vote_reply;
		cb_append_t append;
		cb_append_reply_t append_reply;
		cb_snapshot_chunk_t snapshot;
		cb_snapshot_reply_t snapshot_reply;
		cb_probe_reply_t probe_reply;
	};
} cb_message_t;

cb_message_t *cb_message_new(cb_message_kind_t kind);
void cb_message_delete(cb_message_t *message);
GBytes *cb_message_encode(const cb_message_t *message);
cb_message_t *cb_message_decode(GBytes *bytes);

cb_record_t *cb_record_new(uint64_t index, uint64_t term, uint32_t kind,
			   GBytes *data);
void cb_record_delete(cb_record_t *record);
cb_record_t *cb_record_copy(const cb_record_t *record);

#endif
