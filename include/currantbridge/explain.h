#ifndef CURRANTBRIDGE_EXPLAIN_H
#define CURRANTBRIDGE_EXPLAIN_H

#include <glib.h>

/*
 * Finds out from JSON log lines of many processes what became of one request
 * and why.  Every line is offered twice: to cb_explain_take_request() and,
 * after all of them, to cb_explain_take_context().
 */
typedef struct cb_explain cb_explain_t;

cb_explain_t *cb_explain_new(const char *request);
void cb_explain_delete(cb_explain_t *explain);

void cb_explain_take_request(cb_explain_t *explain, const char *line);
void cb_explain_take_context(cb_explain_t *explain, const char *line);

gboolean cb_explain_is_found(const cb_explain_t *explain);
char *cb_explain_cause(const cb_explain_t *explain);
char *cb_explain_text(const cb_explain_t *explain);
char *cb_explain_json(const cb_explain_t *explain);

#endif
