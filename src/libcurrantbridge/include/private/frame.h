#ifndef PRIVATE_FRAME_H
#define PRIVATE_FRAME_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/network.h"

/* Splits a stream of bytes into frames, each behind its 4-byte length. */
typedef struct cb_frame_reader {
	GByteArray *buffer;
	size_t start;
} cb_frame_reader_t;

typedef enum cb_frame_outcome {
	CB_FRAME_WHOLE,
	CB_FRAME_PARTIAL, /* more bytes are needed */
	CB_FRAME_OVERSIZE,
	CB_FRAME_EMPTY,
} cb_frame_outcome_t;

#define CB_FRAME_HEADER_BYTES 4

void cb_frame_reader_init(cb_frame_reader_t *reader);
void cb_frame_reader_clear(cb_frame_reader_t *reader);
void cb_frame_reader_add(cb_frame_reader_t *reader, const uint8_t *data,
			 size_t size);
cb_frame_outcome_t cb_frame_reader_next(cb_frame_reader_t *reader,
					const uint8_t **data, size_t *size);
void cb_frame_append(GByteArray *out, const uint8_t *data, size_t size);

#endif
