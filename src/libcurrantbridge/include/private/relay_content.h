#ifndef PRIVATE_RELAY_CONTENT_H
#define PRIVATE_RELAY_CONTENT_H

#include "private/content_book.h"
#include "currantbridge/fleet.h"
#include "private/server_ends.h"

struct cb_relay;

/* The content of one relayed request, and how far its attempt has come. */
typedef struct cb_relay_content {
	GArray *features; /* elements: cb_content_feature_t */
	/* When the attempt's last event was received; 0: none was. */
	int64_t last_event_ms;
	/* How long the attempt's answer has been flowing. */
	int64_t progress_ms;
	/* Whether the attempt lost its connection without such progress. */
	gboolean is_suspect;
} cb_relay_content_t;

/* Reads the content of a request that was received whole. */
void cb_relay_content_init(struct cb_relay *relay);
void cb_relay_content_clear(struct cb_relay *relay);
/* The attempt is sent; an event of its answer was received; it has failed. */
void cb_relay_content_attempt_begun(struct cb_relay *relay);
void cb_relay_content_event_received(struct cb_relay *relay);
void cb_relay_content_attempt_failed(struct cb_relay *relay,
				     const char *result);
/*
 * The attempt in flight, if there is one, is left as its request ends: its time is
 * over, or its caller is gone.
 */
void cb_relay_content_left(struct cb_relay *relay);
/* The request ends, with a whole answer of the server if `is_served`. */
void cb_relay_content_ended(const struct cb_relay *relay, gboolean is_served);
/* Ends a request whose content is refused; returns whether it did. */
gboolean cb_relay_content_refuse(struct cb_relay *relay);
/* Whether a failed attempt may not be repeated because of its content. */
gboolean cb_relay_content_bars_retry(const struct cb_relay *relay);

/* The book of an instance, which shares its evidence through control. */
struct cb_front;
cb_content_book_t *cb_relay_content_book_new(struct cb_front *front);
/* Called when the view has changed. */
void cb_relay_content_view_changed(struct cb_front *front);
/* Called when the record of a server has changed. */
void cb_relay_content_server_changed(struct cb_front *front,
				     const cb_fleet_server_t *server);
/* Called when a server was checked; `user_data` is the cb_front_t. */
void cb_relay_content_server_checked(const cb_relay_hop_t *server,
				     cb_server_check_t check,
				     const GPtrArray *losses, void *user_data);

#endif
