#include "settings.h"

#include <string.h>

#define MS_PER_MINUTE 60000
#define MIB (1024 * 1024)

static const char *const level_words[] = { "debug", "info", "warning", "error",
					   NULL };
static const char *const format_words[] = { "text", "json", NULL };

/* Shortens the table: a whole number with its range and default. */
#define INTEGER(field, least, most, text)                              \
	{                                                              \
		.name = #field, .type = CB_SETTING_INTEGER,            \
		.offset = offsetof(settings_t, field), .min = (least), \
		.max = (most), .default_text = (text)                  \
	}

static const cb_setting_t table[] = {
	{ .name = "name",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(settings_t, name),
	  .is_required = TRUE },
	{ .name = "listen",
	  .type = CB_SETTING_ADDRESS,
	  .offset = offsetof(settings_t, listen),
	  .is_required = TRUE },
	{ .name = "advertise",
	  .type = CB_SETTING_ADDRESS,
	  .offset = offsetof(settings_t, advertise) },
	{ .name = "data_centre",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(settings_t, data_centre),
	  .is_required = TRUE },
	{ .name = "control",
	  .type = CB_SETTING_ADDRESSES,
	  .offset = offsetof(settings_t, control),
	  .is_required = TRUE },
	INTEGER(heartbeat_ms, 10, MS_PER_MINUTE, "500"),
	INTEGER(silence_ms, 50, 10 * MS_PER_MINUTE, "2000"),
	INTEGER(server_silence_ms, 100, 10 * MS_PER_MINUTE, "3000"),
	INTEGER(announce_interval_ms, 50, MS_PER_MINUTE, "1000"),
	INTEGER(max_body_bytes, 1024, 1024 * MIB, "4194304"),
	INTEGER(max_unread_bytes, 4096, 64 * MIB, "262144"),
	INTEGER(address_ttl_ms, 0, 60 * MS_PER_MINUTE, "5000"),
	INTEGER(address_count, 1, 16, "4"),
	{ .name = "log_level",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(settings_t, log_level),
	  .default_text = "info",
	  .choices = level_words },
	{ .name = "log_format",
	  .type = CB_SETTING_STRING,
	  .offset = offsetof(settings_t, log_format),
	  .default_text = "text",
	  .choices = format_words },
};

/* Reads the settings file at `path` into `settings`, which is zeroed. */
gboolean settings_read(settings_t *settings, const char *path, GError **error)
{
	if (!cb_settings_load(path, table, G_N_ELEMENTS(table), settings,
			      error))
		return FALSE;
	if (!settings->advertise)
		settings->advertise = g_strdup(settings->listen);
	return TRUE;
}

/* Frees what the settings hold. */
void settings_clear(settings_t *settings)
{
	cb_settings_clear(table, G_N_ELEMENTS(table), settings);
}

static int word_index_(const char *const *words, const char *word)
{
	int i;

	for (i = 0; strcmp(words[i], word); i++)
		;
	return i;
}

/* Returns the lowest level of events that are logged. */
cb_log_level_t settings_log_level(const settings_t *settings)
{
	return (cb_log_level_t)word_index_(cb_log_level_string,
					   settings->log_level);
}

/* Returns the format of the log's lines. */
cb_log_format_t settings_log_format(const settings_t *settings)
{
	return (cb_log_format_t)word_index_(cb_log_format_string,
					    settings->log_format);
}
