#include <gio/gio.h>

#include "currantbridge/document.h"

/* Level 1 takes a fifth of the time of the default, for a little more space. */
#define LEVEL 1
#define STEP_BYTES 65536
/* The largest text that is unpacked: twice what an operator may send. */
#define TEXT_MAX_BYTES (8 * 1024 * 1024)

/* Runs a converter over all of the input; FALSE if it is damaged. */
static gboolean convert_(GConverter *converter, const void *data, size_t size,
			 GByteArray *out)
{
	const uint8_t *next = data;
	uint8_t buffer[STEP_BYTES];
	GConverterResult result;

	do {
		gsize taken = 0;
		gsize made = 0;

		result = g_converter_convert(converter, next, size, buffer,
					     sizeof(buffer),
					     G_CONVERTER_INPUT_AT_END, &taken,
					     &made, NULL);
		if (result == G_CONVERTER_ERROR ||
		    out->len + made > TEXT_MAX_BYTES)
			return FALSE;
		g_byte_array_append(out, buffer, (unsigned int)made);
		next += taken;
		size -= taken;
	} while (result != G_CONVERTER_FINISHED);
	return TRUE;
}

/* Compresses a text; the caller unrefs the bytes. */
GBytes *cb_document_pack(const char *text, size_t size)
{
	GConverter *compressor = G_CONVERTER(
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW, LEVEL));
	GByteArray *out = g_byte_array_new();
	gboolean is_packed = convert_(compressor, text, size, out);

	/* Only a text over the bound fails, which callers refuse before. */
	g_assert(is_packed);
	g_object_unref(compressor);
	return g_byte_array_free_to_bytes(out);
}

char *cb_document_unpack(GBytes *packed, size_t *size)
{
	GConverter *decompressor = G_CONVERTER(
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW));
	GByteArray *out = g_byte_array_new();
	gsize packed_size;
	const void *data = g_bytes_get_data(packed, &packed_size);
	gboolean is_whole = convert_(decompressor, data, packed_size, out);

	g_object_unref(decompressor);
	if (!is_whole) {
		g_byte_array_unref(out);
		return NULL;
	}
	*size = out->len;
	g_byte_array_append(out, (const uint8_t *)"", 1);
	return (char *)g_byte_array_free(out, FALSE);
}

cb_document_t *cb_document_decode(const cb_document_codec_t *codec,
				  GBytes *packed, GError **error)
{
	cb_document_t *document;
	size_t size;
	char *text = cb_document_unpack(packed, &size);

	if (!text) {
		g_set_error(error, CB_DOCUMENT_ERROR, CB_DOCUMENT_ERROR_INVALID,
			    "document: is damaged");
		return NULL;
	}
	document = codec->vtable->decode(codec, text, size, error);
	g_free(text);
	return document;
}
