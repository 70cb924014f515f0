#ifndef MEMORY_H
#define MEMORY_H

#include <glib.h>
#include <stdint.h>

/*
 * Callers and backend servers that load one entry instance, in one thread.  Each
 * service has MEMORY_SERVER_COUNT servers: those of "s" are sound, those of "f"
 * send the same part of an answer again and again.
 */
#define MEMORY_SERVER_COUNT 6

/*
 * What the faulty servers answer: a status line, the headers that name the request,
 * `rest`, then `unit` without end.
 */
typedef struct memory_way {
	const char *status_line; /* NULL: nothing is answered */
	const char *rest;	 /* from after those headers on */
	const char *unit;
	const char *method;
	const char *path; /* of a route to the service "f" */
} memory_way_t;

typedef struct memory_plan {
	memory_way_t way;
	unsigned int unread_callers; /* call "f" and read nothing */
	unsigned int faulty_callers; /* call "f" and read all */
	unsigned int sound_callers;  /* call "s" and read all */
	size_t upload_bytes;	     /* body of the unread callers' requests */
	unsigned int server_rate_bytes; /* sent by a server in each tick */
	int64_t play_ms;
} memory_plan_t;

typedef struct memory_load memory_load_t;

/* What the callers of the service "s" got. */
typedef struct memory_result {
	unsigned int sent;
	unsigned int whole;
	unsigned int refused;	  /* 503 */
	unsigned int broken;	  /* any other end */
	unsigned int faulty_ends; /* answers to callers of "f" that ended */
} memory_result_t;

/* Starts the servers, and their heartbeats to a control instance. */
memory_load_t *memory_load_new(const char *control_address,
			       const memory_plan_t *plan);
/* Lets the callers call an entry instance for the time of the plan. */
memory_result_t memory_load_play(memory_load_t *load,
				 const char *entry_address);
/* Serves the servers' sockets for some time, without callers. */
void memory_load_serve(memory_load_t *load, int64_t time_ms);
void memory_load_delete(memory_load_t *load);

#endif
