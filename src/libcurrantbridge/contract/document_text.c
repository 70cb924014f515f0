#include <gio/gio.h>

#include "currantbridge/document.h"

/*
 * Compression level: takes a fifth of the default level's time, for slightly
 * larger output.
 */
#define COMPRESSION_LEVEL 1
#define BUFFER_BYTES 65536
/* Largest text that is decompressed: twice what an operator may send. */
#define MAX_TEXT_BYTES (8 * 1024 * 1024)

/* Converts all of the input; FALSE if it is damaged or the result too large. */
static gboolean converter_run_(GConverter *converter, const void *data,
			       size_t size, GByteArray *output)
{
	const uint8_t *next = data;
	uint8_t buffer[BUFFER_BYTES];
	GConverterResult result;

	do {
		gsize consumed = 0;
		gsize produced = 0;

		result = g_converter_convert(converter, next, size, buffer,
					     sizeof(buffer),
					     G_CONVERTER_INPUT_AT_END,
					     &consumed, &produced, NULL);
		if (result == G_CONVERTER_ERROR ||
		    output->len + produced > MAX_TEXT_BYTES)
			return FALSE;
		g_byte_array_append(output, buffer, (unsigned int)produced);
		next += consumed;
		size -= consumed;
	} while (result != G_CONVERTER_FINISHED);
	return TRUE;
}

/* Compresses a text; the caller unrefs the bytes. */
GBytes *cb_document_pack(const char *text, size_t size)
{
	GConverter *compressor =
		G_CONVERTER(g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW,
						  COMPRESSION_LEVEL));
	GByteArray *output = g_byte_array_new();
	gboolean is_packed = converter_run_(compressor, text, size, output);

	/*
	 * Compression fails only for a text over the limit; callers reject it
	 * earlier.
	 */
	g_assert(is_packed);
	g_object_unref(compressor);
	return g_byte_array_free_to_bytes(output);
}

/*
 * Decompresses a text and adds a NUL, which `size` does not count.  Returns
 * NULL if the data is damaged or the text too large.
 */
char *cb_document_unpack(GBytes *packed, size_t *size)
{
	GConverter *decompressor = G_CONVERTER(
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW));
	GByteArray *output = g_byte_array_new();
	gsize packed_size;
	const void *data = g_bytes_get_data(packed, &packed_size);
	gboolean is_complete =
		converter_run_(decompressor, data, packed_size, output);

	g_object_unref(decompressor);
	if (!is_complete) {
		g_byte_array_unref(output);
		return NULL;
	}
	*size = output->len;
	g_byte_array_append(output, (const uint8_t *)"", 1);
	return (char *)g_byte_array_free(output, FALSE);
}
