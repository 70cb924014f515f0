#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Preloaded into a program under test: its outgoing TCP connections come from the
 * address in CB_SOURCE_IP, so that stand-ins on the same machine can tell the
 * programs apart.  While the file CB_REFUSE_MARK exists, connections to addresses
 * whose last byte is CB_REFUSE_FROM or more are refused.
 */
typedef int (*connect_fn_t)(int fd, const struct sockaddr *address,
			    socklen_t size);

static int is_refused_(const struct sockaddr_in *address)
{
	const char *mark = getenv("CB_REFUSE_MARK");
	const char *from = getenv("CB_REFUSE_FROM");

	return mark && from &&
	       (int)(ntohl(address->sin_addr.s_addr) & 0xff) >= atoi(from) &&
	       !access(mark, F_OK);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
	connect_fn_t next = (connect_fn_t)dlsym(RTLD_NEXT, "connect");
	const char *ip = getenv("CB_SOURCE_IP");
	struct sockaddr_in source = { .sin_family = AF_INET };

	if (address->sa_family == AF_INET &&
	    is_refused_((const struct sockaddr_in *)address)) {
		errno = ECONNREFUSED;
		return -1;
	}
	/* Without the address the stand-ins do not cut the connection. */
	if (ip && address->sa_family == AF_INET &&
	    inet_pton(AF_INET, ip, &source.sin_addr) == 1)
		(void)bind(fd, (struct sockaddr *)&source, sizeof(source));
	return next(fd, address, size);
}
