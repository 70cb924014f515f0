#ifndef SUPPORT_DISK_H
#define SUPPORT_DISK_H

#include "currantbridge/clock.h"
#include "currantbridge/storage.h"

/*
 * A simulated disk in memory that outlives the replica.  A crash loses the
 * writes that are not synced yet, except for a random number of the oldest.
 */
typedef struct disk disk_t;

disk_t *disk_new(cb_clock_t *clock, GRand *random);
void disk_delete(disk_t *disk);
cb_storage_t *disk_storage(disk_t *disk);
/*
 * Simulates a crash: a random number of the oldest pending writes are kept,
 * the others are dropped.  The replica must have been deleted before.
 */
void disk_crash(disk_t *disk);
/* Erases all data of a disk. */
void disk_erase(disk_t *disk);
/* Makes all writes fail, or succeed again. */
void disk_set_full(disk_t *disk, gboolean is_full);
/* Each sync takes a random time from 0 to `max_sync_ms`. */
void disk_set_sync_ms(disk_t *disk, int32_t max_sync_ms);
/* Returns the size in bytes of the stored snapshot and records. */
uint64_t disk_bytes(const disk_t *disk);
/* Returns the number of completed syncs. */
uint64_t disk_sync_count(const disk_t *disk);

#endif
