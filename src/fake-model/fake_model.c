#include "fake_model.h"

#include <string.h>
#include <xxhash.h>

/* In a prompt, followed by a number, it shortens the answer. */
#define LENGTH_MARK "#tokens="

/* Returns the first 8 hex digits of the text's 64-bit XXH3 hash. */
char *fake_model_hash(const char *text)
{
	uint64_t hash = XXH3_64bits(text, strlen(text));

	return g_strdup_printf("%08x", (uint32_t)(hash >> 32));
}

/* Returns the hidden state of a token before layer 0. */
char *fake_model_begin(const char *prompt, uint64_t token, const char *previous)
{
	char *text = g_strdup_printf("%s|%" G_GUINT64_FORMAT "|%s", prompt,
				     token, previous ? previous : "");
	char *hidden = fake_model_hash(text);

	g_free(text);
	return hidden;
}

/* Takes a hidden state through the layers, both ends included. */
char *fake_model_run(const char *hidden, uint32_t first_layer,
		     uint32_t last_layer)
{
	char *state = g_strdup(hidden);
	uint32_t layer;

	for (layer = first_layer; layer <= last_layer; layer++) {
		char *text = g_strdup_printf("%s|%u", state, layer);

		g_free(state);
		state = fake_model_hash(text);
		g_free(text);
	}
	return state;
}

/* Returns the text of one token by the whole model. */
char *fake_model_token(const char *prompt, uint64_t token, const char *previous,
		       uint32_t layer_count)
{
	char *begin = fake_model_begin(prompt, token, previous);
	char *end = fake_model_run(begin, 0, layer_count - 1);
	char *text = g_strconcat(end, " ", NULL);

	g_free(begin);
	g_free(end);
	return text;
}

/* Returns how many tokens the answer to a prompt has. */
uint64_t fake_model_length(const char *prompt, uint64_t max_tokens)
{
	const char *mark = strstr(prompt, LENGTH_MARK);
	uint64_t wanted;

	if (!mark)
		return max_tokens;
	wanted = g_ascii_strtoull(mark + strlen(LENGTH_MARK), NULL, 10);
	return CLAMP(wanted, 1, max_tokens);
}
