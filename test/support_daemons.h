#ifndef SUPPORT_DAEMONS_H
#define SUPPORT_DAEMONS_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

/*
 * Starts the real daemons on loopback for a test, each with its settings
 * file, log and data folder under one folder, and ends them by process id.
 */
typedef struct support_daemon {
	char *program;
	char *name;
	char *folder;
	char *config;
	char *http;  /* "127.0.0.1:PORT" */
	char *peers; /* control instances only: the address of links */
	GSubprocess *process;
} support_daemon_t;

/* A group of control instances, and what else a test starts. */
typedef struct support_group {
	char *folder;
	support_daemon_t **control;
	size_t control_count;
	GPtrArray *others; /* of support_daemon_t */
} support_group_t;

/* Bounds of a control instance that a test may wish to shorten. */
typedef struct support_bounds {
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	int64_t silence_ms;
} support_bounds_t;

typedef gboolean (*support_condition_fn_t)(void *user_data);

uint16_t support_free_port(void);

support_group_t *support_group_new(size_t control_count,
				   const support_bounds_t *bounds);
void support_group_delete(support_group_t *group);
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
void support_daemon_erase(support_daemon_t *daemon);
char *support_daemon_copy(support_daemon_t *daemon);
int support_daemon_restore(support_daemon_t *daemon, const char *copy);

gboolean support_wait(support_condition_fn_t condition, void *user_data,
		      int64_t limit_ms);
unsigned int support_http(const char *method, const char *address,
			  const char *path, const char *body, char **answer);
int support_leader(support_group_t *group);
gboolean support_wait_leader(support_group_t *group, int64_t limit_ms);

#endif
