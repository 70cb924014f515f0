#ifndef SUPPORT_DAEMONS_H
#define SUPPORT_DAEMONS_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

/*
 * Starts the real daemons on loopback for a test.  Each one has its settings
 * file, log and data folder in the temporary folder of its group, and is ended
 * by its process id.
 */
typedef struct support_daemon {
	char *program; /* path of the daemon's executable */
	char *name;
	char *folder; /* path of the daemon's data folder */
	char *config; /* path of the daemon's settings file */
	char *http;   /* "127.0.0.1:PORT" of the HTTP interface */
	char *peers;  /* "127.0.0.1:PORT" for links; NULL unless cb-control */
	/* Environment variable that tells the daemon `config`; may be NULL. */
	const char *config_variable;
	/*
	 * Whether it starts with SIGHUP blocked, which otherwise ends it while
	 * the system loads its libraries.
	 */
	gboolean holds_reloads;
	/* Process of the daemon; NULL while not started. */
	GSubprocess *process;
} support_daemon_t;

/* A group of control instances, and the other daemons of a test. */
typedef struct support_group {
	char *folder;	  /* temporary folder of all daemons' files */
	gboolean is_kept; /* whether the files are kept, see below */
	support_daemon_t **control;
	size_t control_count;
	/* Daemons other than control instances: support_daemon_t *. */
	GPtrArray *others;
} support_group_t;

/* Timeouts of a control instance that a test may shorten. */
typedef struct support_timeouts {
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	int64_t silence_ms;
} support_timeouts_t;

typedef gboolean (*support_condition_fn_t)(void *user_data);

uint16_t support_free_port(void);
const char *support_programs_folder(void);
char *support_program_copy(const char *program);

support_group_t *support_group_new(size_t control_count,
				   const support_timeouts_t *timeouts);
void support_group_delete(support_group_t *group);
void support_group_report(support_group_t *group);
support_daemon_t *support_group_add(support_group_t *group, const char *program,
				    const char *name, const char *http,
				    const char *settings);

void support_daemon_start(support_daemon_t *daemon);
int support_daemon_start_unread(support_daemon_t *daemon);
gboolean support_daemon_runs(const support_daemon_t *daemon);
void support_daemon_signal(support_daemon_t *daemon, int signal_number);
int support_daemon_wait(support_daemon_t *daemon);
int support_daemon_stop(support_daemon_t *daemon);
void support_daemon_kill(support_daemon_t *daemon);
void support_daemon_erase_data(support_daemon_t *daemon);
char *support_daemon_copy_data(support_daemon_t *daemon);
int support_daemon_restore(support_daemon_t *daemon, const char *copy);

gboolean support_wait_until(support_condition_fn_t condition, void *user_data,
			    int64_t timeout_ms);
unsigned int support_http_request(const char *method, const char *address,
				  const char *path, const char *body,
				  char **answer);
int support_group_leader(support_group_t *group);
gboolean support_wait_leader(support_group_t *group, int64_t timeout_ms);

#endif
