#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

/*
 * Preloaded into a program under test: its outgoing TCP connections come from the
 * address in CB_SOURCE_IP, so that stand-ins on the same machine can tell the
 * programs apart.
 */
typedef int (*connect_fn_t)(int fd, const struct sockaddr *address,
			    socklen_t size);

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
	connect_fn_t next = (connect_fn_t)dlsym(RTLD_NEXT, "connect");
	const char *ip = getenv("CB_SOURCE_IP");
	struct sockaddr_in source = { .sin_family = AF_INET };

	/* Without the address the stand-ins do not cut the connection. */
	if (ip && address->sa_family == AF_INET &&
	    inet_pton(AF_INET, ip, &source.sin_addr) == 1)
		(void)bind(fd, (struct sockaddr *)&source, sizeof(source));
	return next(fd, address, size);
}
