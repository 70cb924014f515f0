#ifndef CURRANTBRIDGE_PRIVATE_REPLICA_LOG_H
#define CURRANTBRIDGE_PRIVATE_REPLICA_LOG_H

#include "currantbridge/storage.h"

/* The part of a replicated log that is held in memory. */
typedef struct cb_replica_log cb_replica_log_t;

cb_replica_log_t *cb_replica_log_new(uint64_t base_index, uint64_t base_term);
void cb_replica_log_delete(cb_replica_log_t *log);

uint64_t cb_replica_log_first(const cb_replica_log_t *log);
uint64_t cb_replica_log_last(const cb_replica_log_t *log);
uint64_t cb_replica_log_last_term(const cb_replica_log_t *log);
gboolean cb_replica_log_term(const cb_replica_log_t *log, uint64_t index,
			     uint64_t *term);
const cb_record_t *cb_replica_log_get(const cb_replica_log_t *log,
				      uint64_t index);
uint64_t cb_replica_log_bytes(const cb_replica_log_t *log, uint64_t after,
			      uint64_t last);

void cb_replica_log_append(cb_replica_log_t *log, cb_record_t *record);
void cb_replica_log_truncate(cb_replica_log_t *log, uint64_t from);
void cb_replica_log_compact(cb_replica_log_t *log, uint64_t through);
void cb_replica_log_reset(cb_replica_log_t *log, uint64_t base_index,
			  uint64_t base_term);

#endif
