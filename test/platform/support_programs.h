#ifndef SUPPORT_PROGRAMS_H
#define SUPPORT_PROGRAMS_H

#include "support_daemons.h"

/* Helpers for tests that run the platform's programs as real processes. */

/*
 * Returns whether a row of a test's table is to be played: CB_ROWS names rows,
 * separated by commas, or is "all"; without it, short rows are played.
 */
gboolean support_row_is_chosen(const char *name, gboolean is_short);
/* Sets the timeout of reads from a socket. */
void support_receive_timeout_set(int fd, int64_t timeout_ms);
/* Returns a connected socket with a timeout of its reads, or -1. */
int support_address_connect(const char *address);
/* Reads one message; NULL if the connection ends before its last byte. */
char *support_message_read(int fd);
/* Reads an answer; "" if the connection ends before its last byte. */
char *support_answer_read(int fd);
/* Sends `text` on a new connection; returns the answer, "" if there is none. */
char *support_request_exchange(const char *address, const char *text);
/* Returns the status of an answer, 0 if the answer is empty. */
unsigned int support_answer_status(const char *answer);
/* Sends one request with a body and returns the complete answer. */
char *support_api_call(const char *address, const char *method,
		       const char *path, const char *body);
unsigned int support_api_call_status(const char *address, const char *method,
				     const char *path, const char *body);
/*
 * Returns the settings that all programs share, without the closing brace.
 * `heartbeat_ms` is the interval of the backend servers' heartbeats.
 */
GString *support_program_settings(const char *name, const char *ip,
				  int internal_port, const char *seeds,
				  int64_t heartbeat_ms);
/* Starts a program of the platform folder; takes ownership of `settings`. */
support_daemon_t *support_program_start(support_group_t *group,
					const char *program, const char *name,
					GString *settings);
/* The same, from the folder of another build; NULL: of this one. */
support_daemon_t *support_program_start_from(support_group_t *group,
					     const char *folder,
					     const char *program,
					     const char *name,
					     GString *settings);
/*
 * Starts `count` control instances, "c0" at 127.0.0.2 and so on, as the seeds of a new
 * group.  Sets the daemons and the addresses of their APIs, to be freed.  Returns the
 * list of seeds for the settings of other programs, to be freed.
 */
char *support_controls_start(support_group_t *group, int count,
			     int internal_port, int64_t heartbeat_ms,
			     support_daemon_t **daemons, char **addresses);
/*
 * Builds a commit of this repository, unless that was done before, and returns the
 * folder with its programs, to be freed.  Without the commit in the history it
 * prints that the test is skipped and returns NULL.
 */
char *support_earlier_build(const char *commit);
/* Has a process run the program of another build from its next start on. */
void support_program_set_folder(support_daemon_t *daemon, const char *folder);

#endif
