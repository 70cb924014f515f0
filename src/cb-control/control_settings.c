#include "control_settings.h"

#include <string.h>

#include "currantbridge/settings.h"

#define FIELD(field) offsetof(control_settings_t, field)
#define MAX_MEMBERS 9

static const char *const log_level_names[] = { "debug", "info", "warning",
					       "error", NULL };
static const char *const log_format_names[] = { "text", "json", NULL };

static const cb_setting_t settings_table[] = {
	{ "name", CB_SETTING_STRING, FIELD(name), TRUE, 0, 0, NULL, NULL },
	{ "listen_http", CB_SETTING_ADDRESS, FIELD(listen_http), TRUE, 0, 0,
	  NULL, NULL },
	{ "listen_peers", CB_SETTING_ADDRESS, FIELD(listen_peers), TRUE, 0, 0,
	  NULL, NULL },
	{ "data_folder", CB_SETTING_STRING, FIELD(data_folder), TRUE, 0, 0,
	  NULL, NULL },
	{ "members", CB_SETTING_STRINGS, FIELD(members), FALSE, 0, 0, "",
	  NULL },
	{ "join", CB_SETTING_BOOLEAN, FIELD(join), FALSE, 0, 0, "false", NULL },
	{ "heartbeat_ms", CB_SETTING_INTEGER, FIELD(heartbeat_ms), FALSE, 10,
	  10000, "100", NULL },
	{ "election_timeout_ms", CB_SETTING_INTEGER, FIELD(election_timeout_ms),
	  FALSE, 50, 60000, "500", NULL },
	{ "silence_ms", CB_SETTING_INTEGER, FIELD(silence_ms), FALSE, 200,
	  60000, "3000", NULL },
	{ "snapshot_every_bytes", CB_SETTING_INTEGER,
	  FIELD(snapshot_every_bytes), FALSE, 4096, G_MAXINT32, "65536", NULL },
	{ "log_level", CB_SETTING_STRING, FIELD(log_level), FALSE, 0, 0, "info",
	  log_level_names },
	{ "log_format", CB_SETTING_STRING, FIELD(log_format), FALSE, 0, 0,
	  "text", log_format_names },
};

static gboolean field_error_set_(GError **error, const char *field,
				 const char *reason)
{
	g_set_error(error, CB_SETTINGS_ERROR, CB_SETTINGS_ERROR_FIELD,
		    "settings: %s: %s", field, reason);
	return FALSE;
}

/* Parses one "NAME=IP:PORT" and appends it to the initial members. */
static gboolean member_parse_(control_settings_t *settings, const char *text,
			      GError **error)
{
	const char *equals = strchr(text, '=');
	cb_replica_member_t *member =
		&settings->initial_members[settings->initial_member_count];
	size_t i;

	if (!equals || equals == text || !cb_address_is_valid(equals + 1))
		return field_error_set_(error, "members",
					"each must be NAME=IP:PORT");
	member->name = g_strndup(text, equals - text);
	member->address = g_strdup(equals + 1);
	member->is_voter = TRUE;
	settings->initial_member_count++;
	for (i = 0; i + 1 < settings->initial_member_count; i++)
		if (g_str_equal(settings->initial_members[i].name,
				member->name))
			return field_error_set_(error, "members",
						"names an instance twice");
	return TRUE;
}

static gboolean members_parse_(control_settings_t *settings, GError **error)
{
	gboolean has_self = FALSE;
	size_t count = g_strv_length(settings->members);
	size_t i;

	if (settings->join)
		return count ? field_error_set_(
				       error, "members",
				       "must be absent when join is true") :
			       TRUE;
	if (!count || count > MAX_MEMBERS)
		return field_error_set_(error, "members",
					"must name 1 to 9 instances");
	settings->initial_members = g_new0(cb_replica_member_t, count);
	for (i = 0; i < count; i++) {
		if (!member_parse_(settings, settings->members[i], error))
			return FALSE;
		has_self |= g_str_equal(settings->initial_members[i].name,
					settings->name);
	}
	return has_self ?
		       TRUE :
		       field_error_set_(error, "members",
					"must include the instance's own name");
}

/*
 * Loads and checks the settings file at `path`; `settings` must be zeroed.
 * Returns FALSE and sets `error` if the file is not valid.
 */
gboolean control_settings_load(const char *path, control_settings_t *settings,
			       GError **error)
{
	if (!cb_settings_load(path, settings_table,
			      G_N_ELEMENTS(settings_table), settings, error))
		return FALSE;
	if (settings->election_timeout_ms < 2 * settings->heartbeat_ms)
		return field_error_set_(error, "election_timeout_ms",
					"must be at least twice heartbeat_ms");
	return members_parse_(settings, error);
}

/* Frees the members of the settings. */
void control_settings_clear(control_settings_t *settings)
{
	size_t i;

	for (i = 0; i < settings->initial_member_count; i++) {
		g_free(settings->initial_members[i].name);
		g_free(settings->initial_members[i].address);
	}
	g_clear_pointer(&settings->initial_members, g_free);
	settings->initial_member_count = 0;
	cb_settings_clear(settings_table, G_N_ELEMENTS(settings_table),
			  settings);
}

static size_t string_index_(const char *const *strings, const char *string)
{
	size_t i = 0;

	while (!g_str_equal(strings[i], string))
		i++;
	return i;
}

/* Returns the lowest level of events that are logged. */
cb_log_level_t control_settings_log_level(const control_settings_t *settings)
{
	return (cb_log_level_t)string_index_(cb_log_level_string,
					     settings->log_level);
}

/* Returns the format of the log lines. */
cb_log_format_t control_settings_log_format(const control_settings_t *settings)
{
	return (cb_log_format_t)string_index_(cb_log_format_string,
					      settings->log_format);
}
