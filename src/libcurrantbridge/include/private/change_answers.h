#ifndef PRIVATE_CHANGE_ANSWERS_H
#define PRIVATE_CHANGE_ANSWERS_H

#include "currantbridge/command.h"
#include "private/pack.h"

/*
 * The answers to recent changes by change ID, so that a resent change gets
 * its first answer and is not applied again.
 */
typedef struct cb_change_answers cb_change_answers_t;

cb_change_answers_t *cb_change_answers_new(void);
void cb_change_answers_delete(cb_change_answers_t *changes);
cb_answer_t *cb_change_answers_find(const cb_change_answers_t *changes,
				    const cb_command_t *command);
void cb_change_answers_record(cb_change_answers_t *changes,
			      const cb_command_t *command,
			      const cb_answer_t *answer, int64_t at_ms);
void cb_change_answers_pack(const cb_change_answers_t *changes,
			    cb_pack_t *pack);
gboolean cb_change_answers_read(cb_change_answers_t *changes,
				const msgpack_object *object);

#endif
