#ifndef PRIVATE_OFFERED_H
#define PRIVATE_OFFERED_H

#include "currantbridge/clock.h"
#include "private/usage.h"

/*
 * What an entry instance was asked for within the last second, by service, rank
 * and workspace, and the pauses of the streams that it relayed: its part of the
 * sums by which cb_room_t decides.
 */
typedef struct cb_offered cb_offered_t;

cb_offered_t *cb_offered_new(cb_clock_t *clock);
void cb_offered_delete(cb_offered_t *offered);
/* Counts a request for so many tokens; `workspace` "": it has none. */
void cb_offered_count_request(cb_offered_t *offered, const char *service,
			      uint32_t rank, const char *workspace,
			      double tokens);
/* Counts a pause between two events of a stream. */
void cb_offered_count_pause(cb_offered_t *offered, const char *service,
			    gboolean is_too_long);
/*
 * Adds the counts of the last second to the usage that is reported.
 * `is_by_workspace` tells for which services workspaces are told apart.
 */
void cb_offered_add_usage(cb_offered_t *offered, cb_usage_t *usage,
			  gboolean (*is_by_workspace)(const char *service,
						      void *user_data),
			  void *user_data);

#endif
