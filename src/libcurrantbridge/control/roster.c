#include "private/roster.h"

struct cb_roster {
	GTree *by_name; /* name to cb_roster_entry_t */
};

static int name_compare_(const void *left, const void *right, void *unused)
{
	(void)unused;
	return g_strcmp0(left, right);
}

static void entry_delete_(void *data)
{
	cb_roster_entry_t *entry = data;

	g_free(entry->name);
	g_free(entry->control);
	g_free(entry);
}

/* Creates an empty roster of sessions. */
cb_roster_t *cb_roster_new(void)
{
	cb_roster_t *roster = g_new0(cb_roster_t, 1);

	roster->by_name =
		g_tree_new_full(name_compare_, NULL, NULL, entry_delete_);
	return roster;
}

/* Deletes a roster; NULL is allowed. */
void cb_roster_delete(cb_roster_t *roster)
{
	if (!roster)
		return;
	g_tree_unref(roster->by_name);
	g_free(roster);
}

/* Returns the roster entry of an entry instance; adds one if there is none. */
static cb_roster_entry_t *entry_find_or_add_(cb_roster_t *roster,
					     const char *name)
{
	cb_roster_entry_t *entry = g_tree_lookup(roster->by_name, name);

	if (entry)
		return entry;
	entry = g_new0(cb_roster_entry_t, 1);
	entry->name = g_strdup(name);
	entry->last_received_ms = INT64_MIN;
	g_tree_insert(roster->by_name, entry->name, entry);
	return entry;
}

/*
 * Records a control instance's report on one session.  Reports may arrive late:
 * one of an older incarnation is ignored, and within an incarnation neither the
 * revision nor the time of the last contact decreases.
 */
void cb_roster_report(cb_roster_t *roster, const char *control,
		      const cb_session_report_t *report, int64_t now_ms)
{
	cb_roster_entry_t *entry = entry_find_or_add_(roster, report->name);
	int64_t last_received_ms =
		now_ms - (int64_t)MIN(report->last_received_ms_ago, G_MAXINT32);

	if (report->incarnation < entry->incarnation)
		return;
	if (report->incarnation > entry->incarnation) {
		entry->incarnation = report->incarnation;
		entry->revision = 0;
		entry->last_received_ms = INT64_MIN;
	}
	entry->revision = MAX(entry->revision, report->revision);
	if (last_received_ms < entry->last_received_ms)
		return;
	entry->last_received_ms = last_received_ms;
	if (g_strcmp0(entry->control, control)) {
		g_free(entry->control);
		entry->control = g_strdup(control);
	}
}

/* Removes the sessions whose last contact was before `before_ms`. */
void cb_roster_remove_expired(cb_roster_t *roster, int64_t before_ms)
{
	GPtrArray *expired = g_ptr_array_new();
	GTreeNode *node = g_tree_node_first(roster->by_name);
	unsigned int i;

	for (; node; node = g_tree_node_next(node)) {
		cb_roster_entry_t *entry = g_tree_node_value(node);

		if (entry->last_received_ms < before_ms)
			g_ptr_array_add(expired, entry->name);
	}
	for (i = 0; i < expired->len; i++)
		g_tree_remove(roster->by_name, g_ptr_array_index(expired, i));
	g_ptr_array_unref(expired);
}

/* Returns the session of an entry instance, or NULL. */
const cb_roster_entry_t *cb_roster_find(const cb_roster_t *roster,
					const char *name)
{
	return g_tree_lookup(roster->by_name, name);
}

/*
 * Returns all sessions sorted by name, as an array of cb_session_report_t that
 * the caller owns.
 */
GPtrArray *cb_roster_list_reports(const cb_roster_t *roster, int64_t now_ms)
{
	GPtrArray *reports =
		g_ptr_array_new_with_free_func(cb_session_report_delete);
	GTreeNode *node = g_tree_node_first(roster->by_name);

	for (; node; node = g_tree_node_next(node)) {
		const cb_roster_entry_t *entry = g_tree_node_value(node);
		cb_session_report_t *report = g_new0(cb_session_report_t, 1);

		report->name = g_strdup(entry->name);
		report->control = g_strdup(entry->control);
		report->incarnation = entry->incarnation;
		report->revision = entry->revision;
		report->last_received_ms_ago =
			(uint64_t)MAX(now_ms - entry->last_received_ms, 0);
		g_ptr_array_add(reports, report);
	}
	return reports;
}
