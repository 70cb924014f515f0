#include "private/frame.h"

#include <string.h>

/* Prepares a reader that holds no bytes. */
void cb_frame_reader_init(cb_frame_reader_t *reader)
{
	reader->buffer = g_byte_array_new();
	reader->start = 0;
}

/* Frees what the reader holds. */
void cb_frame_reader_clear(cb_frame_reader_t *reader)
{
	g_clear_pointer(&reader->buffer, g_byte_array_unref);
	reader->start = 0;
}

/* Adds bytes as they came; frames handed out before become invalid. */
void cb_frame_reader_add(cb_frame_reader_t *reader, const uint8_t *data,
			 size_t size)
{
	if (reader->start) {
		g_byte_array_remove_range(reader->buffer, 0,
					  (guint)reader->start);
		reader->start = 0;
	}
	g_byte_array_append(reader->buffer, data, (guint)size);
}

/*
 * Takes the next frame.  `data` points into the reader and is valid until
 * bytes are added.  After CB_FRAME_OVERSIZE or CB_FRAME_EMPTY the stream
 * cannot be read any further.
 */
cb_frame_outcome_t cb_frame_reader_next(cb_frame_reader_t *reader,
					const uint8_t **data, size_t *size)
{
	const uint8_t *next = reader->buffer->data + reader->start;
	size_t held = reader->buffer->len - reader->start;
	uint32_t length;

	if (held < CB_FRAME_HEADER_BYTES)
		return CB_FRAME_PARTIAL;
	memcpy(&length, next, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (!length)
		return CB_FRAME_EMPTY;
	if (length > CB_FRAME_MAX_BYTES)
		return CB_FRAME_OVERSIZE;
	if (held < CB_FRAME_HEADER_BYTES + length)
		return CB_FRAME_PARTIAL;
	*data = next + CB_FRAME_HEADER_BYTES;
	*size = length;
	reader->start += CB_FRAME_HEADER_BYTES + length;
	return CB_FRAME_WHOLE;
}

/* Appends a frame of 1 to CB_FRAME_MAX_BYTES bytes behind its length. */
void cb_frame_append(GByteArray *out, const uint8_t *data, size_t size)
{
	uint32_t length = GUINT32_TO_BE((uint32_t)size);

	g_assert(size > 0 && size <= CB_FRAME_MAX_BYTES);
	g_byte_array_append(out, (const uint8_t *)&length, sizeof(length));
	g_byte_array_append(out, data, (guint)size);
}
