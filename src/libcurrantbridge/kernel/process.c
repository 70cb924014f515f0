#include "private/process.h"

#include <stdio.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#define DESCRIPTORS_FOLDER "/proc/self/fd"
#define MEMORY_FILE "/proc/self/statm"

/* Returns the largest number of descriptors that this process may open. */
static int64_t descriptor_limit_get_(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) ||
	    limit.rlim_cur > (rlim_t)G_MAXINT64)
		return G_MAXINT64;
	return (int64_t)limit.rlim_cur;
}

/*
 * Counts the entries of the folder that lists the open descriptors; returns
 * `limit` if none is free, since that takes one itself.
 */
int64_t cb_process_list_descriptors(int64_t limit)
{
	GDir *folder = g_dir_open(DESCRIPTORS_FOLDER, 0, NULL);
	int64_t count = 0;

	if (!folder)
		return limit;
	while (g_dir_read_name(folder))
		count++;
	g_dir_close(folder);
	/* The folder's own descriptor is closed again. */
	return count - 1;
}

/*
 * Returns the number of open descriptors.  Newer kernels give it as the size of
 * the folder, which takes no descriptor and doesn't grow with their number.
 */
static int64_t descriptors_count_(int64_t limit)
{
	struct stat status;

	if (!stat(DESCRIPTORS_FOLDER, &status) && status.st_size > 0)
		return status.st_size;
	return cb_process_list_descriptors(limit);
}

/* Returns the resident memory of this process, or -1 if it can't be read. */
static int64_t resident_bytes_get_(void)
{
	FILE *file = fopen(MEMORY_FILE, "re");
	long long total_pages;
	long long resident_pages = -1;

	if (!file)
		return -1;
	if (fscanf(file, "%lld %lld", &total_pages, &resident_pages) != 2)
		resident_pages = -1;
	fclose(file);
	return resident_pages < 0 ? -1 : resident_pages * sysconf(_SC_PAGESIZE);
}

static void gauge_set_(cb_counters_t *counters, const char *name, int64_t value)
{
	cb_counter_set(cb_counters_gauge(counters, name, NULL, NULL), value);
}

/*
 * Sets the gauges of what this process holds of its machine.  Memory that can't
 * be read, for lack of a descriptor, keeps its last value.
 */
void cb_process_update_gauges(cb_counters_t *counters)
{
	int64_t limit = descriptor_limit_get_();
	int64_t resident_bytes = resident_bytes_get_();

	gauge_set_(counters, "cb_process_open_descriptors",
		   descriptors_count_(limit));
	gauge_set_(counters, "cb_process_max_descriptors", limit);
	if (resident_bytes >= 0)
		gauge_set_(counters, "cb_process_resident_bytes",
			   resident_bytes);
}
