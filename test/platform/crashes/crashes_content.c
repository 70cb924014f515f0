#include "crashes.h"

#include <string.h>

const char *const crashes_first_part = "5c1e07a2";
const char *const crashes_middle_part = "91bd3f06";
const char *const crashes_whole_path = "/s/same";

gboolean crashes_content_matches(const crashes_content_t *content,
				 const char *bad)
{
	size_t size = strlen(bad);
	gboolean has_part = FALSE;
	char **parts;
	char **part;

	if (bad[0] == '/')
		return g_str_equal(content->path, bad);
	parts = g_strsplit(content->prompt, ",", 0);
	for (part = parts; *part && !has_part; part++)
		has_part = g_str_has_prefix(*part, bad) && (*part)[size] == ':';
	g_strfreev(parts);
	return has_part;
}

void crashes_stream_event_append(GString *text, const char *request_id,
				 int event_id)
{
	g_string_append_printf(text, "id: %d\ndata: %s-%d\n\n", event_id,
			       request_id, event_id);
}

char *crashes_stream_body(const char *request_id)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 1; i <= CRASHES_STREAM_EVENTS; i++)
		crashes_stream_event_append(text, request_id, i);
	return g_string_free(text, FALSE);
}

gboolean crashes_status_promises_no_run(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}
