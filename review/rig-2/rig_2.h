#ifndef REVIEW_RIG_2_H
#define REVIEW_RIG_2_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Starts a small deployment of the platform's programs on loopback, and plays
 * its servers, callers and operator.
 */

#define RIG_CONTROLS 3
#define RIG_ENTRIES_MAX 8
#define RIG_HEAD_MAX 16384
#define RIG_ADDRESS_MAX 32
#define RIG_FILLERS 4

/* One HTTP message: its head as text, and its body. */
typedef struct rig_message {
	char head[RIG_HEAD_MAX];
	char *body; /* NULL if it is empty */
	size_t body_size;
} rig_message_t;

struct rig_server;

/* A connection that a server has accepted. */
typedef struct rig_connection {
	struct rig_server *server;
	int fd;
	unsigned int life; /* of the server, as the connection was accepted */
	int entry;	   /* the entry that has made it; -1: another program */
} rig_connection_t;

/* Answers a request; false: the connection is closed. */
typedef bool (*rig_serve_fn_t)(rig_connection_t *connection,
			       const rig_message_t *request);

/* A backend server, played by threads. */
typedef struct rig_server {
	const char *name;
	const char *service;
	const char *zone;
	const char *kind; /* of its accelerator; NULL: it has no layers */
	rig_serve_fn_t serve;
	bool is_cut; /* it is one of those that rig_cut_entry() cuts off */
	char address[RIG_ADDRESS_MAX];
	/* What follows is guarded by rig_lock. */
	unsigned int life; /* counts its starts; the ID ends with it */
	bool is_up;
	bool is_dark;
	int listener;
	int fillers[RIG_FILLERS]; /* that fill the queue of a dark listener */
	int64_t born_ms;
	int64_t sequence;
	int layer_from;
	int layer_to;
	unsigned int accepted_orders;
} rig_server_t;

extern pthread_mutex_t rig_lock;

/* Milliseconds since the start of the case. */
int64_t rig_now_ms(void);
/* The time of day in milliseconds. */
int64_t rig_wall_ms(void);
void rig_sleep_ms(int64_t ms);
/* Whether the case plays its disruption (TROUBLE is not 0). */
bool rig_has_trouble(void);

/* Writes a line, with its time, to record.txt in the case's folder. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends the case; `code` is 0, 1 or 2 as the claim says. */
void rig_end(int code) __attribute__((noreturn));

/*
 * Starts control and entry processes in a temporary folder; ends the case with 2
 * if they don't start.
 */
void rig_start(unsigned int entries);
/* Signals a control process; 0 is the first one. */
void rig_signal_control(unsigned int control, int signal_number);
/* The control that leads, by the logs; -1: none. */
int rig_find_leader(void);
/* The control at which an entry has its session, by the logs; -1: none. */
int rig_find_session(unsigned int entry);
/* From now on some servers reset all connections of an entry; -1: of none. */
void rig_cut_entry(int entry);
/* Addresses of an entry's callers, and of a control's API. */
const char *rig_entry_address(unsigned int entry);
const char *rig_control_address(unsigned int control);

/* Sends a configuration until it is acknowledged. */
void rig_put_config(const char *text);

/* Starts a server and its heartbeats. */
void rig_server_start(rig_server_t *server, unsigned int number);
/* The server's process ends: its port refuses, its connections are reset. */
void rig_server_crash(rig_server_t *server);
/*
 * The server's machine is dark: its connections say nothing until it starts again,
 * and new ones are neither taken nor refused.
 */
void rig_server_vanish(rig_server_t *server);
/* It starts again, empty and under another ID. */
void rig_server_restart(rig_server_t *server);
/* Writes the ID of the server's present process. */
void rig_server_id(const rig_server_t *server, char *id, size_t size);
/* Whether the process that accepted a connection still runs. */
bool rig_connection_is_current(const rig_connection_t *connection);

/* Connects to "IP:PORT"; -1 on failure. */
int rig_connect(const char *address, int timeout_ms);
bool rig_send(int fd, const void *data, size_t size);
bool rig_send_text(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/*
 * Reads a message whose body has a Content-Length, or none.  False if it does not
 * come whole.
 */
bool rig_read_message(int fd, rig_message_t *message);
void rig_message_clear(rig_message_t *message);
/* Copies a header's value; false if there is none. */
bool rig_header(const rig_message_t *message, const char *name, char *value,
		size_t size);
/* The status of an answer; 0 if its head is not one. */
int rig_status(const rig_message_t *message);
/* Calls an API; returns the status, 0 without an answer. */
int rig_call(const char *address, const char *method, const char *path,
	     const char *body, int timeout_ms);

#endif
