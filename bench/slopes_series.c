#include <math.h>
#include <stdio.h>

#include "slopes.h"

typedef struct fit {
	double slope;
	double intercept;
	double largest_residual; /* largest absolute residual of a point */
} fit_t;

/* Sets up a figure without points. */
void slopes_series_init(slopes_series_t *series, const char *name,
			const char *unit, const char *count_of)
{
	series->name = name;
	series->unit = unit;
	series->count_of = count_of;
	series->points = g_array_new(FALSE, FALSE, sizeof(slopes_point_t));
}

/* Adds the value that was measured at `count`. */
void slopes_series_add(slopes_series_t *series, double count, double value)
{
	slopes_point_t point = { count, value };

	g_array_append_val(series->points, point);
}

/* Fits a line to the points by least squares. */
static fit_t line_fit_(const GArray *points)
{
	double point_count = points->len;
	double count_sum = 0;
	double value_sum = 0;
	double count_square_sum = 0;
	double product_sum = 0;
	fit_t fit = { 0 };
	unsigned int i;

	for (i = 0; i < points->len; i++) {
		const slopes_point_t *point =
			&g_array_index(points, slopes_point_t, i);

		count_sum += point->count;
		value_sum += point->value;
		count_square_sum += point->count * point->count;
		product_sum += point->count * point->value;
	}
	fit.slope = (point_count * product_sum - count_sum * value_sum) /
		    (point_count * count_square_sum - count_sum * count_sum);
	fit.intercept = (value_sum - fit.slope * count_sum) / point_count;
	for (i = 0; i < points->len; i++) {
		const slopes_point_t *point =
			&g_array_index(points, slopes_point_t, i);
		double fitted_value = fit.intercept + fit.slope * point->count;

		fit.largest_residual = fmax(fit.largest_residual,
					    fabs(point->value - fitted_value));
	}
	return fit;
}

static void point_print_(const slopes_series_t *series,
			 const slopes_point_t *point,
			 const slopes_output_t *output)
{
	if (!output->is_json) {
		printf("  %-34s %10.0f %-10s %12.4g %s\n", series->name,
		       point->count, series->count_of, point->value,
		       series->unit);
		return;
	}
	printf("{\"name\":\"%s\",\"value\":%.6g,\"unit\":\"%s\",\"seed\":%d,"
	       "\"count\":%.0f,\"count_of\":\"%s\"}\n",
	       series->name, point->value, series->unit, SLOPES_SEED,
	       point->count, series->count_of);
}

void slopes_series_report(slopes_series_t *series,
			  const slopes_output_t *output)
{
	fit_t fit = line_fit_(series->points);
	unsigned int i;

	for (i = 0; i < series->points->len; i++)
		point_print_(series,
			     &g_array_index(series->points, slopes_point_t, i),
			     output);
	if (output->is_json)
		printf("{\"name\":\"%s_slope\",\"value\":%.6g,\"unit\":\"%s "
		       "per %s\",\"seed\":%d,\"intercept\":%.6g,"
		       "\"largest_residual\":%.6g,\"points\":%u}\n",
		       series->name, fit.slope, series->unit, series->count_of,
		       SLOPES_SEED, fit.intercept, fit.largest_residual,
		       series->points->len);
	else
		printf("  %-34s slope %.4g, intercept %.4g, largest residual "
		       "%.4g\n",
		       series->name, fit.slope, fit.intercept,
		       fit.largest_residual);
	fflush(stdout);
	g_array_unref(series->points);
	series->points = NULL;
}
