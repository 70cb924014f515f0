#include "currantbridge/program.h"

#include <signal.h>
#include <stdio.h>

/*
 * Blocks SIGHUP, which ends a process by default, until cb_kernel_run() reads
 * it, also where the process that started this one ignores it.  A daemon calls
 * this first in main(), so that its threads inherit the block.
 */
void cb_program_hold_reloads(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGHUP, SIG_DFL);
}

/*
 * Stops GIO from loading desktop modules, using a settings daemon or a proxy
 * resolver, or starting a helper process.  Must be called before any use of
 * GIO.
 */
void cb_program_init(void)
{
	g_setenv("GIO_MODULE_DIR", "/nonexistent", TRUE);
	g_setenv("GIO_USE_VFS", "local", TRUE);
	g_setenv("GSETTINGS_BACKEND", "memory", TRUE);
	g_setenv("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
}

/*
 * Parses a program's command line, with --help and --version in addition to
 * `entries`.  `arguments` describes the arguments after the options; NULL means
 * that none are allowed.  Returns FALSE when the program should exit at once
 * with `exit_code`.
 */
gboolean cb_program_parse(int *argc, char ***argv, const char *arguments,
			  const char *summary, const GOptionEntry *entries,
			  int *exit_code)
{
	gboolean show_version = FALSE;
	const GOptionEntry common[] = { { "version", 0, 0, G_OPTION_ARG_NONE,
					  &show_version,
					  "Print the version and exit", NULL },
					G_OPTION_ENTRY_NULL };
	GOptionContext *context = g_option_context_new(arguments);
	GError *error = NULL;
	gboolean should_continue = FALSE;

	*exit_code = CB_EXIT_USAGE;
	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_main_entries(context, common, NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "%s: %s\n", g_get_prgname(), error->message);
		g_error_free(error);
		goto out;
	}
	if (show_version) {
		printf("%s %s\n", g_get_prgname(), CB_VERSION);
		*exit_code = CB_EXIT_OK;
		goto out;
	}
	if (!arguments && *argc > 1) {
		fprintf(stderr, "%s: unexpected argument %s\n", g_get_prgname(),
			(*argv)[1]);
		goto out;
	}
	should_continue = TRUE;
out:
	g_option_context_free(context);
	return should_continue;
}
