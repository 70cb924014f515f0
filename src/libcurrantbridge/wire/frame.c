#include "private/frame.h"

#include <string.h>

/* Initialises a reader with an empty buffer. */
void cb_frame_reader_init(cb_frame_reader_t *reader)
{
	reader->buffer = g_byte_array_new();
	reader->start = 0;
}

/* Frees the reader's buffer. */
void cb_frame_reader_clear(cb_frame_reader_t *reader)
{
	g_clear_pointer(&reader->buffer, g_byte_array_unref);
	reader->start = 0;
}

/* Appends received bytes.  Frames returned earlier become invalid. */
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
 * Returns CB_FRAME_COMPLETE with the next frame in `data` and `size`.  `data`
 * points into the reader and is valid until bytes are added.  After
 * CB_FRAME_OVERSIZE or CB_FRAME_EMPTY the stream cannot be read any further.
 */
cb_frame_result_t cb_frame_reader_next(cb_frame_reader_t *reader,
				       const uint8_t **data, size_t *size)
{
	const uint8_t *next = reader->buffer->data + reader->start;
	size_t available = reader->buffer->len - reader->start;
	uint32_t length;

	if (available < CB_FRAME_HEADER_BYTES)
		return CB_FRAME_PARTIAL;
	memcpy(&length, next, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (!length)
		return CB_FRAME_EMPTY;
	if (length > CB_FRAME_MAX_BYTES)
		return CB_FRAME_OVERSIZE;
	if (available < CB_FRAME_HEADER_BYTES + length)
		return CB_FRAME_PARTIAL;
	*data = next + CB_FRAME_HEADER_BYTES;
	*size = length;
	reader->start += CB_FRAME_HEADER_BYTES + length;
	return CB_FRAME_COMPLETE;
}

/* Appends the length and then `data`, of 1 to CB_FRAME_MAX_BYTES bytes. */
void cb_frame_append(GByteArray *out, const uint8_t *data, size_t size)
{
	uint32_t length = GUINT32_TO_BE((uint32_t)size);

	g_assert(size > 0 && size <= CB_FRAME_MAX_BYTES);
	g_byte_array_append(out, (const uint8_t *)&length, sizeof(length));
	g_byte_array_append(out, data, (guint)size);
}
