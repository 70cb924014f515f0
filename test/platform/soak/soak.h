#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <stdint.h>

/*
 * What callers sent and got, and what the checks find in it.  A request is one
 * attempt of a caller, with an ID of its own.  A caller that is told that its
 * request did not run sends it again under another ID and the same key, which
 * is the end of its path.
 */
typedef enum soak_kind {
	SOAK_ONCE,	       /* may run only once, on service "s" */
	SOAK_IDEMPOTENT,       /* may run again, on service "s" */
	SOAK_STREAM,	       /* a stream that may run only once, on "s" */
	SOAK_STREAM_RESUMABLE, /* a stream that may be resumed, on "s" */
	SOAK_ONCE_OTHER,       /* may run only once, on service "t" */
	SOAK_KIND_COUNT
} soak_kind_t;

/* The route of a kind of request. */
typedef struct soak_route {
	const char *prefix;	   /* the path that its requests begin with */
	const char *service;	   /* the service that they are for */
	const char *document_kind; /* the kind of route in the document */
	gboolean is_stream;
	gboolean may_run_again;
} soak_route_t;

extern const soak_route_t soak_routes[SOAK_KIND_COUNT];

/* How the exchange of a request ended for its caller. */
typedef enum soak_end {
	SOAK_END_WHOLE,	 /* with a complete answer */
	SOAK_END_LEFT,	 /* the caller closed the connection */
	SOAK_END_UNSENT, /* the connection failed while it was sent */
	SOAK_END_CLOSED, /* closed before the end of the answer */
	SOAK_END_RESET,	 /* reset before the end of the answer */
	SOAK_END_SILENT, /* the caller waited for too long */
} soak_end_t;

typedef struct soak_request {
	char id[20];
	char key[20];
	soak_kind_t kind;
	unsigned int entry; /* index of the entry instance it was sent to */
	soak_end_t end;
	unsigned int begun_status; /* of the answer's head; 0: none came */
	unsigned int status;	   /* of the answer; 0: none, or a cut one */
	char *body;		   /* what came of the answer; NULL: no head */
	int64_t sent_ms;	   /* monotonic time before the first byte */
	int64_t sent_whole_ms;	   /* after the last byte */
	int64_t ended_ms;
} soak_request_t;

/* Returns whether a status tells the caller that the request did not run. */
gboolean soak_status_promises_no_run(unsigned int status);

/* Returns the number of events of the stream with a key. */
unsigned int soak_stream_event_count(const char *key);
/* Returns one event of the stream with a key, to be freed. */
char *soak_stream_event(const char *key, unsigned int id);

/* An answer as far as it came. */
typedef struct soak_answer {
	soak_end_t end;
	unsigned int status; /* 0: no complete head came */
	gboolean closes;     /* the answer is the last on its connection */
	GString *body;	     /* without its framing */
} soak_answer_t;

/*
 * Reads one answer as it arrives, for `timeout_ms` at most.  The caller frees
 * `answer->body`.
 */
void soak_answer_read(int fd, int64_t timeout_ms, soak_answer_t *answer);

/* The callers, each a thread that sends one request after the other. */
typedef struct soak_callers soak_callers_t;

typedef struct soak_load {
	unsigned int caller_count;
	unsigned int kind_count;  /* plays the kinds below this one */
	int64_t budget_ms;	  /* the time that requests give */
	int64_t answer_margin_ms; /* how long callers wait after that */
} soak_load_t;

soak_callers_t *soak_callers_start(const char *const *entry_addresses,
				   const soak_load_t *load, uint32_t seed);
/* Stops the callers and returns their requests: soak_request_t. */
GPtrArray *soak_callers_stop(soak_callers_t *callers);

/* The servers' own record of what they began to run. */
typedef struct soak_effect {
	unsigned int run_count;
	unsigned int foreign_count; /* runs on another service than its own */
	GString *servers;	    /* IDs of the servers that ran it */
} soak_effect_t;

/* Returns the effects by request ID and by path: soak_effect_t. */
GHashTable *soak_effects_read(const char *path);

/*
 * Checks requests against the file of effects.  Returns how many break a rule,
 * and prints each of them if `prints`.
 */
unsigned int soak_check(const GPtrArray *requests, const char *effects_path,
			gboolean prints);

/* What became of a request, while all servers are sound. */
typedef enum soak_fate {
	SOAK_FATE_SERVED,
	SOAK_FATE_REFUSED,     /* with the promise that it did not run */
	SOAK_FATE_LEFT,	       /* the caller left */
	SOAK_FATE_UNREAD,      /* not read whole by a stopping entry */
	SOAK_FATE_STOPPED,     /* its entry's grace time was over */
	SOAK_FATE_LATE_ANSWER, /* an error once its time was over */
	SOAK_FATE_LATE_CUT,    /* cut once its time was over */
	SOAK_FATE_CUT_RESET,   /* cut within its time, by a reset */
	SOAK_FATE_CUT_CLOSED,  /* the same, by a close or silence */
	SOAK_FATE_UNANSWERED,  /* closed, or silent, without a head */
	SOAK_FATE_EARLY_502,   /* within its time */
	SOAK_FATE_EARLY_504,   /* within its time */
	SOAK_FATE_OTHER_ERROR, /* any other status */
	SOAK_FATE_COUNT
} soak_fate_t;

extern const char *const soak_fate_string[SOAK_FATE_COUNT];

/* An entry that got SIGTERM. */
typedef struct soak_stop {
	unsigned int entry;
	int64_t stopped_ms; /* when the signal was sent */
	int64_t ended_ms;   /* when the process had ended; 0: not yet */
} soak_stop_t;

typedef struct soak_limits {
	int64_t time_ms;     /* the time limit of all routes */
	int64_t grace_ms;    /* how long a stopping entry serves requests */
	const GArray *stops; /* soak_stop_t */
} soak_limits_t;

typedef struct soak_tally {
	unsigned int counts[SOAK_KIND_COUNT][SOAK_FATE_COUNT];
} soak_tally_t;

/*
 * Finds what became of each request of a run in which all servers are sound.
 * Returns how many lack the complete answer that they should have got, and
 * prints each of them if `prints`.
 */
unsigned int soak_check_fates(const GPtrArray *requests,
			      const char *effects_path,
			      const soak_limits_t *limits, gboolean prints,
			      soak_tally_t *tally);

/* How a process of the soak ended. */
typedef struct soak_exit {
	gboolean was_stopped; /* it got SIGTERM */
	gboolean was_killed;  /* it got SIGKILL */
	int exit_code;	      /* 0 if a signal ended it */
	int signal_number;    /* that ended it; 0: none */
} soak_exit_t;

/* Returns whether a process ended as a signal of the test told it to. */
gboolean soak_exit_is_expected(const soak_exit_t *process_exit);

#endif
