#ifndef SLOPES_H
#define SLOPES_H

#include <glib.h>
#include <stdint.h>

#include "support_daemons.h"

/*
 * Shared by the benchmarks of `bench/run slopes`.  Each measures figures (CPU
 * time, memory, traffic) at several counts of sessions, contracts and so on,
 * and fits a straight line to them: the slope is the cost of one more.
 */
#define SLOPES_SEED 1

typedef struct slopes_output {
	gboolean is_json;
} slopes_output_t;

/* A figure measured at several counts; the strings are not copied. */
typedef struct slopes_series {
	const char *name;
	const char *unit; /* unit of the values */
	/* What the counts are counts of, such as "session". */
	const char *count_of;
	GArray *points; /* array of slopes_point_t */
} slopes_series_t;

typedef struct slopes_point {
	double count;
	double value;
} slopes_point_t;

void slopes_series_init(slopes_series_t *series, const char *name,
			const char *unit, const char *count_of);
void slopes_series_add(slopes_series_t *series, double count, double value);
/* Prints the points and the fitted line, and frees the points. */
void slopes_series_report(slopes_series_t *series,
			  const slopes_output_t *output);

/* The resources that a process has used since its start. */
typedef struct slopes_usage {
	double cpu_time_ms;
	double resident_kb; /* resident memory at the time of reading */
	/*
	 * Bytes sent and received over links, without headers of TCP and IP;
	 * 0 unless the process is a daemon.
	 */
	double link_bytes;
	int64_t measured_at_us; /* time of the reading on the monotonic clock */
} slopes_usage_t;

slopes_usage_t slopes_usage_read_self(void);
slopes_usage_t slopes_usage_read_daemon(const support_daemon_t *daemon);
/* Mean usage per second between the readings `begin` and `end`. */
double slopes_usage_cpu_ms_per_s(slopes_usage_t begin, slopes_usage_t end);
double slopes_usage_link_bytes_per_s(slopes_usage_t begin, slopes_usage_t end);
/* Runs the default main loop for `run_ms`. */
void slopes_loop_run(int64_t run_ms);
/* Starts an entry instance with default settings, connected to `group`. */
support_daemon_t *slopes_entry_start(support_group_t *group);

void slopes_measure_sessions(const slopes_output_t *output);
void slopes_measure_changes(const slopes_output_t *output);
void slopes_measure_claims(const slopes_output_t *output);
void slopes_measure_demand(const slopes_output_t *output);
void slopes_measure_contracts(const slopes_output_t *output);
void slopes_measure_servers(const slopes_output_t *output);
void slopes_measure_state(const slopes_output_t *output);

#endif
