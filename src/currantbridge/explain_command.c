#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "currantbridge/explain.h"
#include "currantbridge/program.h"

typedef void (*take_fn_t)(cb_explain_t *explain, const char *line);

/* Offers each line of the files; FALSE when one can't be read. */
static gboolean files_read_(char **paths, take_fn_t take, cb_explain_t *explain)
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
			take(explain, line);
		fclose(file);
	}
	free(line);
	return *path == NULL;
}

/* Prints a request's way through the logs, and the likely cause of its end. */
int explain_command(client_t *client, const arguments_t *arguments)
{
	cb_explain_t *explain = cb_explain_new(arguments->words[0]);
	char **paths = arguments->words + 1;
	int code = CB_EXIT_USAGE;
	char *text;

	(void)client;
	if (!files_read_(paths, cb_explain_take_request, explain) ||
	    !files_read_(paths, cb_explain_take_context, explain))
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
