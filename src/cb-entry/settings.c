#include "settings.h"

#include <string.h>

#define MS_PER_MINUTE 60000
#define BYTES_PER_MIB (1024 * 1024)

static const char *const log_level_names[] = { "debug", "info", "warning",
					       "error", NULL };
static const char *const log_format_names[] = { "text", "json", NULL };

/* An optional integer setting with its range and default. */
#define INTEGER_SETTING(field, minimum, maximum, default_value)                \
	{                                                                      \
		.name = #field, .type = CB_SETTING_INTEGER,                    \
		.offset = offsetof(entry_settings_t, field), .min = (minimum), \
		.max = (maximum), .default_text = (default_value)              \
	}

static const cb_setting_t settings_table[] = {
	{ .name = "name",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(entry_settings_t, name),
	  .is_required = TRUE },
	{ .name = "listen",
	  .type = CB_SETTING_ADDRESS,
	  .offset = offsetof(entry_settings_t, listen),
	  .is_required = TRUE },
	{ .name = "advertise",
	  .type = CB_SETTING_ADDRESS,
	  .offset = offsetof(entry_settings_t, advertise) },
	{ .name = "data_centre",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(entry_settings_t, data_centre),
	  .is_required = TRUE },
	{ .name = "control",
	  .type = CB_SETTING_ADDRESSES,
	  .offset = offsetof(entry_settings_t, control),
	  .is_required = TRUE },
	INTEGER_SETTING(heartbeat_ms, 10, MS_PER_MINUTE, "500"),
	INTEGER_SETTING(silence_ms, 50, 10 * MS_PER_MINUTE, "2000"),
	INTEGER_SETTING(server_silence_ms, 100, 10 * MS_PER_MINUTE, "3000"),
	INTEGER_SETTING(announce_interval_ms, 50, MS_PER_MINUTE, "1000"),
	INTEGER_SETTING(max_body_bytes, 1024, 1024 * BYTES_PER_MIB, "4194304"),
	INTEGER_SETTING(max_unread_bytes, 4096, 64 * BYTES_PER_MIB, "262144"),
	INTEGER_SETTING(address_ttl_ms, 0, 60 * MS_PER_MINUTE, "5000"),
	INTEGER_SETTING(address_count, 1, 16, "4"),
	{ .name = "log_level",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(entry_settings_t, log_level),
	  .default_text = "info",
	  .choices = log_level_names },
	{ .name = "log_format",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(entry_settings_t, log_format),
	  .default_text = "text",
	  .choices = log_format_names },
};

/*
 * Loads and checks the settings file at `path`; `settings` must be zeroed.
 * Returns FALSE and sets `error` if the file is not valid.
 */
gboolean entry_settings_load(entry_settings_t *settings, const char *path,
			     GError **error)
{
	if (!cb_settings_load(path, settings_table,
			      G_N_ELEMENTS(settings_table), settings, error))
		return FALSE;
	if (!settings->advertise)
		settings->advertise = g_strdup(settings->listen);
	return TRUE;
}

/* Frees the members of the settings. */
void entry_settings_clear(entry_settings_t *settings)
{
	cb_settings_clear(settings_table, G_N_ELEMENTS(settings_table),
			  settings);
}

static int string_index_(const char *const *strings, const char *string)
{
	int i;

	for (i = 0; strcmp(strings[i], string); i++)
		;
	return i;
}

/* Returns the lowest level of events that are logged. */
cb_log_level_t entry_settings_log_level(const entry_settings_t *settings)
{
	return (cb_log_level_t)string_index_(cb_log_level_string,
					     settings->log_level);
}

/* Returns the format of the log lines. */
cb_log_format_t entry_settings_log_format(const entry_settings_t *settings)
{
	return (cb_log_format_t)string_index_(cb_log_format_string,
					      settings->log_format);
}
