#ifndef SUPPORT_HISTORY_H
#define SUPPORT_HISTORY_H

/*
 * Checks a history of JSON lines; returns NULL, or the first broken rule and
 * where it was broken, to be freed with g_free().
 */
char *support_history_check(const char *lines);

#endif
