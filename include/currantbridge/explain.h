#ifndef CURRANTBRIDGE_EXPLAIN_H
#define CURRANTBRIDGE_EXPLAIN_H

#include <glib.h>

/*
 * Explains the outcome of one request from the JSON log lines of any number of
 * processes.  The caller passes every line to cb_explain_add_request_line() and
 * then every line again to cb_explain_add_context_line(), which needs the
 * times, instances and servers found in the first pass.
 */
typedef struct cb_explain cb_explain_t;

/* `request` is the request ID, as in the field "request" of the log. */
cb_explain_t *cb_explain_new(const char *request);
void cb_explain_delete(cb_explain_t *explain);

/* First pass: keeps the line if it is about the request. */
void cb_explain_add_request_line(cb_explain_t *explain, const char *line);
/* Second pass: keeps the line if it may explain the request's outcome. */
void cb_explain_add_context_line(cb_explain_t *explain, const char *line);

/* Whether any line is about the request. */
gboolean cb_explain_is_found(const cb_explain_t *explain);
/* The next three functions return a text to be freed with g_free(). */
char *cb_explain_cause(const cb_explain_t *explain);
char *cb_explain_text(const cb_explain_t *explain);
char *cb_explain_json(const cb_explain_t *explain);

#endif
