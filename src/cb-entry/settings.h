#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "currantbridge/log.h"
#include "currantbridge/settings.h"

/* The settings of cb-entry, described in docs/SETTINGS.md. */
typedef struct entry_settings {
	char *name;
	char *listen;
	/* IP:PORT given to others; `listen` if the file has none. */
	char *advertise;
	char *data_centre;
	char **control; /* IP:PORT of each control instance */
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
} entry_settings_t;

gboolean entry_settings_load(entry_settings_t *settings, const char *path,
			     GError **error);
void entry_settings_clear(entry_settings_t *settings);
cb_log_level_t entry_settings_log_level(const entry_settings_t *settings);
cb_log_format_t entry_settings_log_format(const entry_settings_t *settings);

#endif
