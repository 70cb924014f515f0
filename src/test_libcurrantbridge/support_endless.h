#ifndef SUPPORT_ENDLESS_H
#define SUPPORT_ENDLESS_H

#include <glib.h>
#include <stdint.h>

#include "private/stream.h"

/* Servers whose answers never end, for tests of the readers of answers. */

/* Bytes that a server sends in one iteration of the main loop. */
#define ENDLESS_FLOOD_BYTES 16384
#define ENDLESS_DRIP_BYTES 1

/* The part of an answer that never ends. */
typedef enum endless_part {
	ENDLESS_HEAD,	  /* anything before the body, interim answers too */
	ENDLESS_FRAMING,  /* the lines between the pieces of a chunked body */
	ENDLESS_TRAILERS, /* the lines after the last chunk */
	ENDLESS_BODY,	  /* the data of the body */
} endless_part_t;

/*
 * A way of never ending: the status line and the given headers, `rest`, then
 * `unit` again and again.
 */
typedef struct endless_way {
	const char *name;
	endless_part_t part;
	gboolean has_head; /* whether the status line and headers are sent */
	const char *rest;
	const char *unit;
} endless_way_t;

#define ENDLESS_WAY_COUNT 15
extern const endless_way_t support_endless_ways[ENDLESS_WAY_COUNT];

/* Returns what precedes the units of a way, to be freed. */
char *support_endless_begin(const endless_way_t *way, const char *status_line,
			    const char *headers);

/* Sends a text without end on a stream, from the main loop. */
typedef struct endless_sender endless_sender_t;

/*
 * Adds the bytes that the peer's socket has accepted to `sent_bytes`, which
 * must outlive the sender, as `unit` must.
 */
endless_sender_t *support_endless_sender_new(cb_stream_t *stream,
					     const char *unit,
					     size_t piece_bytes,
					     uint64_t *sent_bytes);
/* Must be called before the stream is deleted; NULL is allowed. */
void support_endless_sender_delete(endless_sender_t *sender);

/* A server that gives the same answer without end to each connection. */
typedef struct endless_server {
	cb_poller_t *poller;
	cb_stream_listener_t *listener;
	char *address; /* "IP:PORT" */
	char *begin;   /* sent before the units */
	const char *unit;
	size_t piece_bytes;
	uint64_t sent_bytes;
	unsigned int connection_count; /* accepted so far */
	unsigned int closed_count;     /* closed by the peer so far */
	GPtrArray *connections;
} endless_server_t;

/* Takes ownership of `begin`. */
void support_endless_server_init(endless_server_t *server, char *begin,
				 const char *unit, size_t piece_bytes);
void support_endless_server_clear(endless_server_t *server);

/* Returns the bytes that this process has allocated; 0: not known. */
size_t support_endless_heap_bytes(void);

#endif
