#ifndef PRIVATE_CHANGES_H
#define PRIVATE_CHANGES_H

#include "currantbridge/command.h"
#include "private/pack.h"

/* The change IDs seen lately, each with its first answer. */
typedef struct cb_changes cb_changes_t;

cb_changes_t *cb_changes_new(void);
void cb_changes_delete(cb_changes_t *changes);
cb_answer_t *cb_changes_find(const cb_changes_t *changes,
			     const cb_command_t *command);
void cb_changes_note(cb_changes_t *changes, const cb_command_t *command,
		     const cb_answer_t *answer, int64_t at_ms);
void cb_changes_pack(const cb_changes_t *changes, cb_pack_t *pack);
gboolean cb_changes_read(cb_changes_t *changes, const msgpack_object *object);

#endif
