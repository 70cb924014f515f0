#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "currantbridge/explain.h"
#include "currantbridge/program.h"

typedef void (*line_handle_fn_t)(cb_explain_t *explain, const char *line);

/* Passes each line of the files on; returns FALSE if one can't be opened. */
static gboolean files_read_lines_(char **paths, line_handle_fn_t line_handle,
				  cb_explain_t *explain)
{
	char *line = NULL;
	size_t size = 0;
	char **path;

	for (path = paths; *path; path++) {
		FILE *file = fopen(*path, "r");

		if (!file) {
			fprintf(stderr, "currantbridge: %s: %s\n", *path,
				strerror(errno));
			break;
		}
		while (getline(&line, &size, file) >= 0)
			line_handle(explain, line);
		fclose(file);
	}
	free(line);
	return *path == NULL;
}

/*
 * explain REQUEST FILE...: prints the logged events of a request and the
 * likely cause of its outcome.
 */
int explain_command(client_t *client, const arguments_t *arguments)
{
	cb_explain_t *explain = cb_explain_new(arguments->operands[0]);
	char **paths = arguments->operands + 1;
	int code = CB_EXIT_USAGE;
	char *text;

	(void)client;
	if (!files_read_lines_(paths, cb_explain_add_request_line, explain) ||
	    !files_read_lines_(paths, cb_explain_add_context_line, explain))
		goto out;
	code = cb_explain_is_found(explain) ? CB_EXIT_OK : CB_EXIT_FAILURE;
	text = arguments->is_json ? cb_explain_json(explain) :
				    cb_explain_text(explain);
	printf("%s%s", text, arguments->is_json ? "\n" : "");
	g_free(text);
out:
	cb_explain_delete(explain);
	return code;
}
