#ifndef SLOPES_H
#define SLOPES_H

#include <glib.h>
#include <stdint.h>

#include "support_daemons.h"

/*
 * What the parts of bench/run slopes share: figures measured at several
 * counts, with the straight line that fits them best.
 */
#define SLOPES_SEED 1

typedef struct slopes_output {
	gboolean is_json;
} slopes_output_t;

/* One figure against one count; names are not copied. */
typedef struct slopes_series {
	const char *name;
	const char *unit;
	const char *count_of;
	GArray *points; /* of slopes_point_t */
} slopes_series_t;

typedef struct slopes_point {
	double count;
	double value;
} slopes_point_t;

void slopes_series_init(slopes_series_t *series, const char *name,
			const char *unit, const char *count_of);
void slopes_series_add(slopes_series_t *series, double count, double value);
/* Prints the points and the fit, and frees the points. */
void slopes_series_report(slopes_series_t *series,
			  const slopes_output_t *output);

/* What a process has spent so far. */
typedef struct slopes_spent {
	double processor_ms;
	double resident_kb;
	double link_bytes; /* daemons only: sent and received, no TCP and IP */
	int64_t at_us;
} slopes_spent_t;

slopes_spent_t slopes_self_spent(void);
slopes_spent_t slopes_daemon_spent(const support_daemon_t *daemon);
/* What was spent from `begin` to `end` in a second. */
double slopes_processor_ms_per_s(slopes_spent_t begin, slopes_spent_t end);
double slopes_bytes_per_s(slopes_spent_t begin, slopes_spent_t end);
/* Lets the default loop run for so long. */
void slopes_rest(int64_t rest_ms);
/* Starts an entry instance of the group, with default settings. */
support_daemon_t *slopes_entry_start(support_group_t *group);

void slopes_control_sessions(const slopes_output_t *output);
void slopes_control_changes(const slopes_output_t *output);
void slopes_control_claims(const slopes_output_t *output);
void slopes_demand(const slopes_output_t *output);
void slopes_contracts(const slopes_output_t *output);
void slopes_servers(const slopes_output_t *output);
void slopes_state(const slopes_output_t *output);

#endif
