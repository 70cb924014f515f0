#ifndef PRIVATE_CONTENT_BOOK_H
#define PRIVATE_CONTENT_BOOK_H

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/log.h"
#include "private/content.h"

/*
 * Decides which content crashes servers, from the ends of servers that all
 * instances share and from the answers that this instance saw make progress.
 * It has no network: the owner passes on evidence and shares what it is told.
 * See docs/REQUESTS.md, "Content that crashes servers".
 */
typedef struct cb_content_book cb_content_book_t;

typedef enum cb_content_verdict {
	CB_CONTENT_FREE,
	/* Not to be sent again once a server ended under it. */
	CB_CONTENT_WATCHED,
	/* Not to be sent. */
	CB_CONTENT_REFUSED,
	CB_CONTENT_VERDICT_COUNT
} cb_content_verdict_t;

/* Why content is refused. */
typedef struct cb_content_refusal {
	uint64_t hash; /* the refused feature */
	int64_t until_wall_ms;
} cb_content_refusal_t;

/*
 * How long an answer must have been coming before it shows that its content does
 * not crash servers: most of what does crash a server does so as it begins to
 * write.
 */
#define CB_CONTENT_PROGRESS_MS 300
/* The progress of an answer that came whole. */
#define CB_CONTENT_PROGRESS_WHOLE INT64_MAX

/* How far the answer to an attempt has come. */
typedef struct cb_content_progress {
	int64_t sent_ms; /* when the attempt was sent, by the book's clock */
	/*
	 * How long the answer has been coming: CB_CONTENT_PROGRESS_MS, a multiple
	 * of it, or CB_CONTENT_PROGRESS_WHOLE.
	 */
	int64_t progress_ms;
} cb_content_progress_t;

/* An attempt to serve a request that a server's end broke off. */
typedef struct cb_content_attempt {
	GArray *features;    /* elements: cb_content_feature_t */
	int64_t progress_ms; /* how long its answer had been coming */
	/* When it was broken off, or left as silent, by the book's clock. */
	int64_t lost_ms;
	/* When a silent one was last heard of; 0: its connection was lost. */
	int64_t silent_since_ms;
} cb_content_attempt_t;

/* What the instances have shared about one feature. */
typedef struct cb_content_record {
	const char *name; /* name of the feature */
	/* "SERVER DEPTH WALL_MS REPORTER" for each end; NULL-terminated. */
	const char *const *deaths;
	/* Wall clock time until which it is refused; 0: it is not. */
	int64_t until_wall_ms;
	uint64_t revision; /* changes with each change of the record */
} cb_content_record_t;

/* Parts of a book; all must outlive it, and `log` may be NULL. */
typedef struct cb_content_book_parts {
	cb_clock_t *clock;
	cb_log_t *log;
	cb_counters_t *counters;
	void *user_data;
	/* Shares that a server ended under a feature: a death of its record. */
	void (*report)(void *user_data, const char *name, const char *death);
	/* Shares that a feature is refused until a wall clock time. */
	void (*refuse)(void *user_data, const char *name,
		       int64_t until_wall_ms);
	/* Shares that a feature is innocent: its record is to be removed. */
	void (*clear)(void *user_data, const char *name);
} cb_content_book_parts_t;

cb_content_book_t *cb_content_book_new(const cb_content_book_parts_t *parts);
void cb_content_book_delete(cb_content_book_t *book);
/* Creates an attempt, with a reference to its features. */
cb_content_attempt_t *cb_content_attempt_new(GArray *features,
					     int64_t progress_ms,
					     int64_t lost_ms);
void cb_content_attempt_delete(void *attempt);
/* Takes note that the answer to a request with these features goes on. */
void cb_content_book_add_progress(cb_content_book_t *book,
				  const GArray *features,
				  const cb_content_progress_t *progress);
/*
 * Takes note that a server process, "ID/START", ended under attempts, elements of
 * type cb_content_attempt_t.
 */
void cb_content_book_add_death(cb_content_book_t *book, const char *server,
			       const GPtrArray *attempts);
/*
 * Returns how many of the attempts have only features that this instance saw make
 * progress.
 */
unsigned int cb_content_book_count_proved(const cb_content_book_t *book,
					  const GPtrArray *attempts);
/* Replaces what the instances have shared. */
void cb_content_book_update(cb_content_book_t *book,
			    const cb_content_record_t *records,
			    unsigned int record_count);
/*
 * Returns the strictest verdict on the features; `refusal`, which may be NULL,
 * is set if that is CB_CONTENT_REFUSED.
 */
cb_content_verdict_t cb_content_book_check(const cb_content_book_t *book,
					   const GArray *features,
					   cb_content_refusal_t *refusal);

#endif
