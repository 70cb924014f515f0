#ifndef SUPPORT_DISK_H
#define SUPPORT_DISK_H

#include "currantbridge/clock.h"
#include "currantbridge/storage.h"

/*
 * A disk in memory.  What was not synced when a crash comes is lost, but
 * for a random part from its beginning.  It outlives the replica.
 */
typedef struct disk disk_t;

disk_t *disk_new(cb_clock_t *clock, GRand *random);
void disk_delete(disk_t *disk);
cb_storage_t *disk_storage(disk_t *disk);
/* The process ends: what waits is dropped, or kept up to a random point. */
void disk_crash(disk_t *disk);
void disk_make_blank(disk_t *disk);
void disk_set_full(disk_t *disk, gboolean is_full);
void disk_set_sync_ms(disk_t *disk, int32_t most_ms);
uint64_t disk_bytes(const disk_t *disk);
uint64_t disk_syncs(const disk_t *disk);

#endif
