#ifndef PRIVATE_FRAME_H
#define PRIVATE_FRAME_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/network.h"

/* Splits a byte stream into frames: a 4-byte big-endian length, then data. */
typedef struct cb_frame_reader {
	GByteArray *buffer; /* received bytes, from which frames are read */
	size_t start;	    /* offset in `buffer` of the first unread byte */
} cb_frame_reader_t;

typedef enum cb_frame_result {
	CB_FRAME_COMPLETE,
	/* The frame is incomplete: more bytes are needed. */
	CB_FRAME_PARTIAL,
	CB_FRAME_OVERSIZE, /* the frame's length exceeds CB_FRAME_MAX_BYTES */
	CB_FRAME_EMPTY,	   /* the frame's length is 0 */
} cb_frame_result_t;

#define CB_FRAME_HEADER_BYTES 4

void cb_frame_reader_init(cb_frame_reader_t *reader);
void cb_frame_reader_clear(cb_frame_reader_t *reader);
void cb_frame_reader_add(cb_frame_reader_t *reader, const uint8_t *data,
			 size_t size);
cb_frame_result_t cb_frame_reader_next(cb_frame_reader_t *reader,
				       const uint8_t **data, size_t *size);
void cb_frame_append(GByteArray *out, const uint8_t *data, size_t size);

#endif
