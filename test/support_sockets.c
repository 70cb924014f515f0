#include "support_sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static struct sockaddr_in address_parse_(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const char *colon = strrchr(text, ':');
	char *ip = g_strndup(text, (size_t)(colon - text));

	address.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	inet_pton(AF_INET, ip, &address.sin_addr);
	g_free(ip);
	return address;
}

int support_socket_connect(const char *address)
{
	const struct sockaddr_in peer = address_parse_(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!connect(fd, (const struct sockaddr *)&peer, sizeof(peer)))
		return fd;
	close(fd);
	return -1;
}

int support_socket_listen(const char *address)
{
	const struct sockaddr_in local = address_parse_(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int is_enabled = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &is_enabled,
		   sizeof(is_enabled));
	if (!bind(fd, (const struct sockaddr *)&local, sizeof(local)) &&
	    !listen(fd, SOMAXCONN))
		return fd;
	close(fd);
	return -1;
}

gboolean support_socket_send(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return FALSE;
		data += sent;
		size -= (size_t)sent;
	}
	return TRUE;
}
