#ifndef CURRANTBRIDGE_SETTINGS_H
#define CURRANTBRIDGE_SETTINGS_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Settings files: one JSON object, which is read into a C structure according
 * to a table with the name, type and range of each field.
 */
typedef enum cb_setting_type {
	CB_SETTING_STRING,    /* char *, never an empty string */
	CB_SETTING_ADDRESS,   /* char *, "IP:PORT" */
	CB_SETTING_STRINGS,   /* char **, NULL-terminated */
	CB_SETTING_ADDRESSES, /* char **, NULL-terminated, each "IP:PORT" */
	CB_SETTING_INTEGER,   /* int64_t */
	CB_SETTING_NUMBER,    /* double, may have a fraction */
	CB_SETTING_BOOLEAN,   /* gboolean */
	CB_SETTING_TYPE_COUNT
} cb_setting_type_t;

typedef struct cb_setting {
	const char *name;
	cb_setting_type_t type;
	size_t offset; /* offset of the member, in bytes */
	/*
	 * Whether the field must be given, an array with at least one element.
	 */
	gboolean is_required;
	/* Smallest value of an INTEGER or NUMBER; `max` is the largest. */
	int64_t min;
	int64_t max;
	/*
	 * The value of an absent field, with spaces between the elements of an
	 * array; NULL leaves the member as it is.
	 */
	const char *default_text;
	/*
	 * Values allowed for a STRING, NULL-terminated; NULL if any is allowed.
	 */
	const char *const *choices;
} cb_setting_t;

typedef enum cb_settings_error {
	CB_SETTINGS_ERROR_UNREADABLE,
	CB_SETTINGS_ERROR_SYNTAX,
	CB_SETTINGS_ERROR_FIELD,
} cb_settings_error_t;

#define CB_SETTINGS_ERROR cb_settings_error_quark()
GQuark cb_settings_error_quark(void);

gboolean cb_settings_load(const char *path, const cb_setting_t *table,
			  size_t table_count, void *settings, GError **error);
gboolean cb_settings_parse(const char *text, const cb_setting_t *table,
			   size_t table_count, void *settings, GError **error);
gboolean cb_settings_read_object(JsonObject *object, const cb_setting_t *table,
				 size_t table_count, void *settings,
				 GError **error);
void cb_settings_clear(const cb_setting_t *table, size_t table_count,
		       void *settings);

gboolean cb_address_is_valid(const char *address);

#endif
