#ifndef CONTROL_SETTINGS_H
#define CONTROL_SETTINGS_H

#include "currantbridge/log.h"
#include "currantbridge/replica.h"

/* The settings of cb-control, described in docs/SETTINGS.md. */
typedef struct control_settings {
	char *name;
	char *listen_http;
	char *listen_peers;
	char *data_folder;
	char **members; /* NAME=IP:PORT of each member of the control group */
	gboolean join;	/* whether to join an existing control group */
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	int64_t silence_ms;
	int64_t snapshot_every_bytes;
	char *log_level;
	char *log_format;
	/* The initial members of the control group, parsed from `members`. */
	cb_replica_member_t *initial_members;
	size_t initial_member_count;
} control_settings_t;

gboolean control_settings_load(const char *path, control_settings_t *settings,
			       GError **error);
void control_settings_clear(control_settings_t *settings);
cb_log_level_t control_settings_log_level(const control_settings_t *settings);
cb_log_format_t control_settings_log_format(const control_settings_t *settings);

#endif
