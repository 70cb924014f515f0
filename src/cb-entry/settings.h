#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "currantbridge/log.h"
#include "currantbridge/settings.h"

/* The settings of an entry instance; docs/SETTINGS.md explains each. */
typedef struct settings {
	char *name;
	char *listen;
	char *advertise;
	char *data_centre;
	char **control;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	int64_t server_silence_ms;
	int64_t announce_interval_ms;
	int64_t max_body_bytes;
	int64_t max_unread_bytes;
	int64_t address_ttl_ms;
	int64_t address_count;
	char *log_level;
	char *log_format;
} settings_t;

gboolean settings_read(settings_t *settings, const char *path, GError **error);
void settings_clear(settings_t *settings);
cb_log_level_t settings_log_level(const settings_t *settings);
cb_log_format_t settings_log_format(const settings_t *settings);

#endif
