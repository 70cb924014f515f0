#ifndef PRIVATE_CONTENT_H
#define PRIVATE_CONTENT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/text_part.h"

/* The depth of the feature that stands for a whole request. */
#define CB_CONTENT_WHOLE 255
/* Shared parts of a prompt that are told apart; later ones are ignored. */
#define CB_CONTENT_PARTS_MAX 32

/*
 * A feature of a request by which the requests that crash servers may be
 * recognised: one shared part of its prompt, or the request as a whole.
 */
typedef struct cb_content_feature {
	uint64_t hash;
	/* Place of the part in the prompt, from 1, or CB_CONTENT_WHOLE. */
	uint32_t depth;
} cb_content_feature_t;

/* What identifies a whole request; NULL members count as empty. */
typedef struct cb_content_request {
	const char *method;
	const char *target;
	const char *key; /* access key of the caller */
	const GByteArray *body;
} cb_content_request_t;

GArray *cb_content_features_new(const cb_content_request_t *request,
				const cb_text_part_t *parts,
				unsigned int part_count);
char *cb_content_features_text(const GArray *features);
char *cb_content_name_new(uint64_t hash);
gboolean cb_content_name_read(const char *name, uint64_t *hash);

#endif
