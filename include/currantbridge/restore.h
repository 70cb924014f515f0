#ifndef CURRANTBRIDGE_RESTORE_H
#define CURRANTBRIDGE_RESTORE_H

#include <glib.h>
#include <stdint.h>

/*
 * Restores the control state from a copy of the data folder of any control
 * instance: writes a new data folder with which one control instance forms a
 * new group.
 */
typedef struct cb_restore_options {
	const char *from_folder;
	/* Folder to be written; absent or without data. */
	const char *to_folder;
	const char *name;    /* name of the control instance to be started */
	const char *address; /* address at which its peers reach the instance */
} cb_restore_options_t;

/* The state that was restored. */
typedef struct cb_restore_result {
	uint64_t revision; /* revision of the restored state */
	unsigned int contract_count;
} cb_restore_result_t;

gboolean cb_restore(const cb_restore_options_t *options, GRand *random,
		    cb_restore_result_t *restored, GError **error);

#endif
