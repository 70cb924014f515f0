#ifndef CURRANTBRIDGE_RESTORE_H
#define CURRANTBRIDGE_RESTORE_H

#include <glib.h>
#include <stdint.h>

/*
 * Makes a control instance that forms a group of its own from a copy of any
 * control instance's data folder.
 */
typedef struct cb_restore_options {
	const char *from_folder;
	const char *to_folder; /* blank */
	const char *name;
	const char *address;
} cb_restore_options_t;

typedef struct cb_restored {
	uint64_t revision;
	unsigned int contract_count;
} cb_restored_t;

gboolean cb_restore(const cb_restore_options_t *options, GRand *random,
		    cb_restored_t *restored, GError **error);

#endif
