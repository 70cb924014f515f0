#ifndef SOAK_PLATFORM_H
#define SOAK_PLATFORM_H

#include "soak.h"
#include "support_programs.h"

/*
 * The processes of a soak: the platform's programs and backend servers on
 * loopback, and what its plan does to them.
 */
#define SOAK_CONTROL_MAX 9
#define SOAK_ENTRY_MAX 60
#define SOAK_SERVER_MAX 90
#define SOAK_PROCESS_MAX (SOAK_CONTROL_MAX + SOAK_ENTRY_MAX + SOAK_SERVER_MAX)

/* What a soak starts, and the load that it plays. */
typedef struct soak_setup {
	unsigned int control_count;
	unsigned int seed_count; /* the first control instances; 0: all */
	unsigned int entry_count;
	unsigned int server_count;
	gboolean has_other_service; /* every third server is of service "t" */
	gboolean is_sound;	    /* servers don't misbehave */
	/* Each version N of the document adds a route "/version-N/". */
	gboolean has_version_routes;
	/*
	 * Folder of an earlier build, whose programs of the platform are started
	 * first; NULL: only this build's run.
	 */
	const char *programs;
	/* Each start after the first draws one of the two builds. */
	gboolean draws_build;
	int slots;		 /* of each server */
	int heartbeat_ms;	 /* that control expects of servers */
	int server_heartbeat_ms; /* that servers keep to */
	int grace_s;		 /* of the entries */
	/* The document's times; versions alternate between the pairs. */
	int timeout_ms[2];
	int target_latency_ms[2];
	int target_gap_ms;
	int event_gap_max_ms;
	/* Between changes of the document; maximum 0: none. */
	int document_gap_min_ms;
	int document_gap_max_ms;
	/* How long a change waits for an answer; 0: as other calls do. */
	int document_wait_ms;
	soak_load_t load;
} soak_setup_t;

/* A process and what the plan has done to it. */
typedef struct soak_process {
	support_daemon_t *daemon;
	int64_t resume_ms;  /* when a pause ends; 0: it is not paused */
	int64_t resumed_ms; /* when the last pause ended; 0: there was none */
	int64_t restart_ms; /* when it is started again; 0: not yet known */
	int64_t started_ms;
	int64_t hung_up_ms; /* when it last got SIGHUP; 0: not since its start */
	soak_exit_t exit;   /* the signals since its start */
} soak_process_t;

typedef struct soak {
	const soak_setup_t *setup;
	support_group_t *group;
	/* Control instances, then entries, then servers. */
	soak_process_t processes[SOAK_PROCESS_MAX];
	unsigned int process_count;
	/* Of the control instances, with what belongs to each of them. */
	char *control_addresses[SOAK_CONTROL_MAX + 1];
	char *control_metrics[SOAK_CONTROL_MAX];
	gboolean is_control_gone[SOAK_CONTROL_MAX]; /* ended for good */
	/* Guards the three, which another thread than the plan's reads. */
	GMutex controls_lock;
	unsigned int control_start_count; /* with the successors */
	int internal_port;
	char *control_list_path; /* file with the addresses of those not gone */
	char *entry_addresses[SOAK_ENTRY_MAX + 1];
	char *effects_path;
	unsigned int serving_count; /* entries that have served a request */
	GRand *random;		    /* of the plan */
	GRand *document_random;	    /* of the changes of the document */
	int version;
	int put_control;	   /* that the last change was sent to */
	gboolean is_put_to_repeat; /* the last change was not acknowledged */
	GArray *stops;		   /* soak_stop_t */
	unsigned int fault_count;
	unsigned int unexpected_exit_count;
} soak_t;

/*
 * Starts all processes.  Returns FALSE if they don't serve requests in time, whose
 * logs are then kept; soak_clear() must be called in any case.
 */
gboolean soak_init(soak_t *soak, const soak_setup_t *setup, uint32_t seed);
void soak_clear(soak_t *soak);
/* Returns the first process of the entries and of the servers. */
soak_process_t *soak_entries(soak_t *soak);
soak_process_t *soak_servers(soak_t *soak);
/*
 * Sends the next version of the document to a control instance that is not gone: to
 * any, or to the next one if the last time brought no acknowledgement.
 */
gboolean soak_document_put(soak_t *soak);
/* Ends a control instance for good. */
void soak_control_lose(soak_t *soak, unsigned int control);
/*
 * Starts an empty control instance in place of one that was lost, at an address of
 * its own, whose seeds are others that run.
 */
void soak_control_replace(soak_t *soak, unsigned int control);
/* Returns the control instance that says that it is the leader; -1: none does. */
int soak_control_leader(soak_t *soak);
/*
 * Returns the version of the document that a control instance reads; 0: it doesn't
 * know the newest.
 */
int soak_control_version(soak_t *soak, unsigned int control);
/* Returns whether an entry serves a route that a version of the document adds. */
gboolean soak_entry_has_version(const soak_t *soak, unsigned int entry,
				int version);
/* Sends a signal; SIGSTOP lasts for `pause_ms`. */
void soak_process_signal(soak_t *soak, soak_process_t *process,
			 int signal_number, int pause_ms);
/*
 * Ends pauses that are over, and starts processes again that have ended; counts
 * those that no signal of the test has ended.
 */
void soak_processes_restore(soak_t *soak);

#endif
