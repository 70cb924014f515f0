#ifndef SUPPORT_SOCKETS_H
#define SUPPORT_SOCKETS_H

#include <glib.h>

/*
 * Blocking TCP sockets for test clients and servers.  An address has the form
 * "IP:PORT" with an IPv4 address.
 */

/* Returns a connected socket, or -1 if the connection failed. */
int support_socket_connect(const char *address);
/* Returns a listening socket, or -1 with errno set. */
int support_socket_listen(const char *address);
/* Sends all bytes.  Returns FALSE if the connection failed before that. */
gboolean support_socket_send(int fd, const char *data, size_t size);

#endif
