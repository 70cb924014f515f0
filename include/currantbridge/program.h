#ifndef CURRANTBRIDGE_PROGRAM_H
#define CURRANTBRIDGE_PROGRAM_H

#include <glib.h>

#define CB_VERSION "0.1.0"

/* The exit codes of all programs. */
typedef enum cb_exit {
	CB_EXIT_OK = 0,
	CB_EXIT_FAILURE = 1,
	CB_EXIT_USAGE = 2,	 /* the command line is not valid */
	CB_EXIT_CONFLICT = 3,	 /* request refused with HTTP status 409 */
	CB_EXIT_UNAVAILABLE = 4, /* no answer, or HTTP status 503 */
} cb_exit_t;

void cb_program_hold_reloads(void);
void cb_program_init(void);
gboolean cb_program_parse(int *argc, char ***argv, const char *arguments,
			  const char *summary, const GOptionEntry *entries,
			  int *exit_code);

#endif
