#ifndef PRIVATE_PEERS_H
#define PRIVATE_PEERS_H

#include "currantbridge/log.h"
#include "currantbridge/network.h"
#include "private/link.h"

/* The links that a control instance opens to the others and reopens. */
typedef struct cb_peers cb_peers_t;

typedef struct cb_peers_handler {
	void (*ready)(void *user_data, const char *peer);
	void (*received)(void *user_data, const char *peer,
			 const cb_link_message_t *message);
	void (*closed)(void *user_data, const char *peer);
} cb_peers_handler_t;

typedef struct cb_peers_options {
	cb_clock_t *clock;
	cb_log_t *log;
	cb_network_t *network;
	GRand *random;
	cb_link_options_t link;
} cb_peers_options_t;

cb_peers_t *cb_peers_new(const cb_peers_options_t *options,
			 const cb_peers_handler_t *handler, void *user_data);
void cb_peers_delete(cb_peers_t *peers);
void cb_peers_keep_connected(cb_peers_t *peers, const char *name,
			     const char *address);
void cb_peers_forget_lost(cb_peers_t *peers, const char *const *kept);
gboolean cb_peers_send(cb_peers_t *peers, const char *name,
		       const cb_link_message_t *message);
gboolean cb_peers_send_encoded(cb_peers_t *peers, const char *name,
			       GBytes *message);
void cb_peers_reconnect_soon(cb_peers_t *peers, const char *name);
/* Returns the protocol version of the ready link to an instance; 0: none. */
uint64_t cb_peers_protocol(const cb_peers_t *peers, const char *name);
gboolean cb_peers_is_ready(const cb_peers_t *peers, const char *name);
void cb_peers_goodbye(cb_peers_t *peers, cb_close_reason_t reason);

#endif
