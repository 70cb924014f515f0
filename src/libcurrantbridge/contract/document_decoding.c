#include "currantbridge/document.h"

#include <string.h>
#include <xxhash.h>

struct cb_document_decoding {
	const cb_document_codec_t *codec;
	char *text;
	size_t size;
	cb_document_t *previous; /* document to share routes with, or NULL */
	/* The document being decoded; NULL before the first step. */
	cb_document_t *document;
	GArray *route_texts;	 /* of cb_text_part_t */
	unsigned int next_route; /* index of the first route not decoded yet */
};

cb_document_decoding_t *cb_document_decoding_new(
	const cb_document_codec_t *codec, char *text, size_t size,
	cb_document_t *previous)
{
	cb_document_decoding_t *decoding = g_new0(cb_document_decoding_t, 1);

	decoding->codec = codec;
	decoding->text = text;
	decoding->size = size;
	decoding->previous = previous ? cb_document_ref(previous) : NULL;
	decoding->route_texts =
		g_array_new(FALSE, FALSE, sizeof(cb_text_part_t));
	return decoding;
}

/* Frees a decoding, also before its end; NULL is allowed. */
void cb_document_decoding_delete(cb_document_decoding_t *decoding)
{
	if (!decoding)
		return;
	g_array_unref(decoding->route_texts);
	cb_document_unref(decoding->document);
	cb_document_unref(decoding->previous);
	g_free(decoding->text);
	g_free(decoding);
}

/* Returns the previous document's route with this text, or NULL. */
static cb_route_t *known_route_find_(const cb_document_decoding_t *decoding,
				     const cb_text_digest_t *digest)
{
	return decoding->previous ?
		       g_hash_table_lookup(decoding->previous->routes_by_digest,
					   digest) :
		       NULL;
}

/* Decodes a route; NULL with an error. */
static cb_route_t *route_decode_(const cb_document_decoding_t *decoding,
				 const cb_text_part_t *part,
				 const cb_text_digest_t *digest, GError **error)
{
	char *text = g_strndup(part->text, part->size);
	const cb_text_part_t copy = { text, part->size };
	cb_route_t *route = decoding->codec->vtable->read_route(decoding->codec,
								&copy, error);

	g_free(text);
	if (route)
		route->digest = *digest;
	return route;
}

/*
 * Adds the next route and subtracts it from `new_routes` unless it is shared.
 * FALSE: it is invalid.
 */
static gboolean next_route_add_(cb_document_decoding_t *decoding,
				unsigned int *new_routes, GError **error)
{
	const cb_text_part_t *part =
		&g_array_index(decoding->route_texts, cb_text_part_t,
			       decoding->next_route++);
	XXH128_hash_t hash = XXH3_128bits(part->text, part->size);
	const cb_text_digest_t digest = { hash.low64, hash.high64 };
	cb_route_t *route = known_route_find_(decoding, &digest);

	if (route) {
		route->refs++;
	} else {
		route = route_decode_(decoding, part, &digest, error);
		(*new_routes)--;
	}
	if (!route)
		return FALSE;
	cb_document_add_route(decoding->document, route);
	return TRUE;
}

gboolean cb_document_decoding_step(cb_document_decoding_t *decoding,
				   unsigned int max_routes,
				   cb_document_t **document, GError **error)
{
	unsigned int new_routes = max_routes;

	*document = NULL;
	if (!decoding->document)
		decoding->document = decoding->codec->vtable->open(
			decoding->codec, decoding->text, decoding->size,
			decoding->route_texts, error);
	if (!decoding->document)
		return TRUE;
	while (decoding->next_route < decoding->route_texts->len) {
		if (!new_routes)
			return FALSE;
		if (!next_route_add_(decoding, &new_routes, error))
			return TRUE;
	}
	if (cb_document_finish(decoding->document, error))
		*document = g_steal_pointer(&decoding->document);
	return TRUE;
}

/* Decodes the whole of `text`, which it takes over. */
static cb_document_t *owned_text_decode_(const cb_document_codec_t *codec,
					 char *text, size_t size,
					 cb_document_t *previous,
					 GError **error)
{
	cb_document_decoding_t *decoding =
		cb_document_decoding_new(codec, text, size, previous);
	cb_document_t *document;

	(void)cb_document_decoding_step(decoding, UINT32_MAX, &document, error);
	cb_document_decoding_delete(decoding);
	return document;
}

cb_document_t *cb_document_decode_text(const cb_document_codec_t *codec,
				       const char *text, size_t size,
				       cb_document_t *previous, GError **error)
{
	char *copy;

	if (codec->vtable->check_text &&
	    !codec->vtable->check_text(codec, text, size, error))
		return NULL;
	copy = g_malloc(size + 1);
	memcpy(copy, text, size);
	copy[size] = '\0';
	return owned_text_decode_(codec, copy, size, previous, error);
}

/* Decompresses a document's text, to be freed; returns NULL with an error. */
static char *text_unpack_(GBytes *packed, size_t *size, GError **error)
{
	char *text = cb_document_unpack(packed, size);

	if (!text)
		g_set_error(error, CB_DOCUMENT_ERROR, CB_DOCUMENT_ERROR_INVALID,
			    "document: is damaged");
	return text;
}

/* Decompresses and decodes a document; returns NULL with an error. */
cb_document_t *cb_document_decode(const cb_document_codec_t *codec,
				  GBytes *packed, cb_document_t *previous,
				  GError **error)
{
	size_t size;
	char *text = text_unpack_(packed, &size, error);

	return text ? owned_text_decode_(codec, text, size, previous, error) :
		      NULL;
}

cb_document_t *cb_document_decode_services(const cb_document_codec_t *codec,
					   GBytes *packed, GError **error)
{
	GArray *route_texts = g_array_new(FALSE, FALSE, sizeof(cb_text_part_t));
	cb_document_t *document = NULL;
	size_t size;
	char *text = text_unpack_(packed, &size, error);

	if (text)
		document = codec->vtable->open(codec, text, size, route_texts,
					       error);
	g_array_unref(route_texts);
	g_free(text);
	return document;
}
