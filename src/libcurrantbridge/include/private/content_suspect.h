#ifndef PRIVATE_CONTENT_SUSPECT_H
#define PRIVATE_CONTENT_SUSPECT_H

#include "private/content_book.h"

/* The end of a server process under a feature. */
typedef struct cb_content_death {
	char *server; /* "ID/START" */
	int64_t wall_ms;
	int64_t known_ms; /* when this instance learned of it */
	/*
	 * When an attempt of this instance was broken off by it, and how long its
	 * answer had been coming; -1: only another instance knows.
	 */
	int64_t lost_ms;
	int64_t progress_ms;
	/* FALSE: this instance has reported it and waits for its record. */
	gboolean is_shared;
} cb_content_death_t;

/* A feature that servers ended under. */
typedef struct cb_content_suspect {
	uint64_t hash;
	uint32_t depth;
	GArray *deaths; /* of different servers: cb_content_death_t */
	/* Revision of the shared record that was read last; 0: none. */
	uint64_t revision;
	gboolean is_shared; /* a record of it is shared */
	/* End of its refusal, which may be past; 0: it was never refused. */
	int64_t until_wall_ms;
	/* Whether this instance has reported a death of it. */
	gboolean is_reporter;
	gboolean is_watched;
	int64_t clear_sent_ms; /* when it was last cleared; 0: never */
} cb_content_suspect_t;

cb_content_suspect_t *cb_content_suspect_new(uint64_t hash);
void cb_content_suspect_delete(void *suspect);
/* Returns the death of a server, or NULL. */
const cb_content_death_t *cb_content_suspect_find_death(
	const cb_content_suspect_t *suspect, const char *server);
/* Adds a copy of a death that is to be shared. */
void cb_content_suspect_add_death(cb_content_suspect_t *suspect,
				  const cb_content_death_t *death);
/*
 * Replaces the shared deaths, each given as "SERVER DEPTH WALL_MS REPORTER";
 * NULL: by none.  Malformed ones are skipped.
 */
void cb_content_suspect_read_deaths(cb_content_suspect_t *suspect,
				    const char *const *deaths, int64_t now_ms);
/* Returns when the last death became known; 0: there is none. */
int64_t cb_content_suspect_last_death_ms(const cb_content_suspect_t *suspect);
/*
 * Returns whether an answer to a whole request shows it to be innocent of the end of
 * a server: the attempt was sent after the one that the end broke off at `lost_ms`,
 * and has got much further than that one (`lost_progress_ms`; -1: not known).
 */
gboolean cb_content_end_is_outlived(int64_t lost_ms, int64_t lost_progress_ms,
				    const cb_content_progress_t *progress);
/* Returns whether that is so for each death of a suspect. */
gboolean cb_content_suspect_is_outlived(const cb_content_suspect_t *suspect,
					const cb_content_progress_t *progress);
/* Returns whether each death of `narrow` is one of `wide`, too. */
gboolean cb_content_suspect_covers(const cb_content_suspect_t *wide,
				   const cb_content_suspect_t *narrow);

/* The ends of servers under all suspects, and what explains them. */
typedef struct cb_content_evidence cb_content_evidence_t;

/* How the evidence speaks against one suspect. */
typedef struct cb_content_weight {
	unsigned int events; /* separate events */
	unsigned int ends;   /* servers whose end it explains */
	/* Unexplained ends that it does not explain, from 3 s before its first. */
	unsigned int other_ends;
	unsigned int unexplained; /* of `ends`, those that nothing else does */
} cb_content_weight_t;

/* `suspects` maps hashes to suspects; ends before `oldest_wall_ms` are left out. */
cb_content_evidence_t *cb_content_evidence_new(GHashTable *suspects,
					       int64_t oldest_wall_ms);
void cb_content_evidence_delete(cb_content_evidence_t *evidence);
/* Takes note that a suspect is or was refused. */
void cb_content_evidence_add_refused(cb_content_evidence_t *evidence,
				     cb_content_suspect_t *suspect);
/* Returns the refused suspects: elements of type cb_content_suspect_t. */
const GPtrArray *cb_content_evidence_refused(
	const cb_content_evidence_t *evidence);
cb_content_weight_t cb_content_evidence_weigh(
	const cb_content_evidence_t *evidence,
	const cb_content_suspect_t *suspect);

#endif
