#ifndef SUPPORT_SOCKETS_H
#define SUPPORT_SOCKETS_H

#include <glib.h>

/* Blocking sockets for stand-ins of callers and servers; "IP:PORT". */

/* Returns a connected socket, or -1. */
int support_socket_connect(const char *address);
/* Returns a listening socket, or -1 with errno. */
int support_socket_listen(const char *address);
/* Sends all of it; FALSE when the connection broke. */
gboolean support_socket_send(int fd, const char *data, size_t size);

#endif
