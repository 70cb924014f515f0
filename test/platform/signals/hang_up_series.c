#include <dlfcn.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#define SERIES_COUNT 200
#define SERIES_GAP_US 100

/*
 * Preloaded into a program under test: sends it SIGHUP as it first calls setenv(),
 * which all programs do to set up GIO, and then again and again for 20 ms.  A
 * signal from another process could arrive before main() has begun.
 */
typedef int (*setenv_fn_t)(const char *name, const char *value, int overwrite);

static void *series_send_(void *unused)
{
	int i;

	for (i = 0; i < SERIES_COUNT; i++) {
		kill(getpid(), SIGHUP);
		usleep(SERIES_GAP_US);
	}
	return unused;
}

/* Starts a thread that takes no signals, and sends the series from it. */
static void series_start_(void)
{
	sigset_t all;
	sigset_t before;
	pthread_t thread;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	if (!pthread_create(&thread, NULL, series_send_, NULL))
		pthread_detach(thread);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
}

int setenv(const char *name, const char *value, int overwrite)
{
	static int has_begun;
	setenv_fn_t next = (setenv_fn_t)dlsym(RTLD_NEXT, "setenv");

	if (!has_begun) {
		has_begun = 1;
		kill(getpid(), SIGHUP);
		series_start_();
	}
	return next(name, value, overwrite);
}
