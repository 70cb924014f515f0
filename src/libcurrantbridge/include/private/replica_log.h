#ifndef CURRANTBRIDGE_PRIVATE_REPLICA_LOG_H
#define CURRANTBRIDGE_PRIVATE_REPLICA_LOG_H

#include "currantbridge/storage.h"

/*
 * The records of a replicated log that are kept in memory: those after a base
 * index up to the last one.
 */
typedef struct cb_replica_log cb_replica_log_t;

cb_replica_log_t *cb_replica_log_new(uint64_t base_index, uint64_t base_term);
void cb_replica_log_delete(cb_replica_log_t *log);

uint64_t cb_replica_log_first_index(const cb_replica_log_t *log);
uint64_t cb_replica_log_last_index(const cb_replica_log_t *log);
uint64_t cb_replica_log_last_term(const cb_replica_log_t *log);
gboolean cb_replica_log_term(const cb_replica_log_t *log, uint64_t index,
			     uint64_t *term);
const cb_record_t *cb_replica_log_get(const cb_replica_log_t *log,
				      uint64_t index);
uint64_t cb_replica_log_bytes(const cb_replica_log_t *log, uint64_t after_index,
			      uint64_t last_index);

void cb_replica_log_append(cb_replica_log_t *log, cb_record_t *record);
void cb_replica_log_truncate(cb_replica_log_t *log, uint64_t from_index);
void cb_replica_log_compact(cb_replica_log_t *log, uint64_t through_index);
void cb_replica_log_reset(cb_replica_log_t *log, uint64_t base_index,
			  uint64_t base_term);

#endif
