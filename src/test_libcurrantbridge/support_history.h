#ifndef SUPPORT_HISTORY_H
#define SUPPORT_HISTORY_H

/*
 * Checks a history of JSON lines.  Returns NULL, or the first violated rule,
 * with the line that violated it if it was a single one, to be freed with
 * g_free().
 */
char *support_history_check(const char *lines);

#endif
