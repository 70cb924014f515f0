#include "fake_model.h"

#include <string.h>
#include <xxhash.h>

/* Marker in a prompt; the number after it sets the tokens of the answer. */
#define TOKEN_COUNT_MARKER "#tokens="

/* Returns the first 8 hex digits of the text's 64-bit XXH3 hash. */
char *fake_model_hash(const char *text)
{
	uint64_t hash = XXH3_64bits(text, strlen(text));

	return g_strdup_printf("%08x", (uint32_t)(hash >> 32));
}

/*
 * Returns the hidden state of a token before layer 0.  `previous` is the text
 * of the token before it; NULL for the first token.
 */
char *fake_model_initial_state(const char *prompt, uint64_t token,
			       const char *previous)
{
	char *text = g_strdup_printf("%s|%" G_GUINT64_FORMAT "|%s", prompt,
				     token, previous ? previous : "");
	char *hidden = fake_model_hash(text);

	g_free(text);
	return hidden;
}

/*
 * Applies the layers from `first_layer` to `last_layer`, both included, to a
 * hidden state.  Returns the hidden state after them.
 */
char *fake_model_run_layers(const char *hidden, uint32_t first_layer,
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

/* Returns the text of a token, computed with all layers of the model. */
char *fake_model_token(const char *prompt, uint64_t token, const char *previous,
		       uint32_t layer_count)
{
	char *begin = fake_model_initial_state(prompt, token, previous);
	char *end = fake_model_run_layers(begin, 0, layer_count - 1);
	char *text = g_strconcat(end, " ", NULL);

	g_free(begin);
	g_free(end);
	return text;
}

/* Returns the number of tokens of the answer, from 1 to `max_tokens`. */
uint64_t fake_model_token_count(const char *prompt, uint64_t max_tokens)
{
	const char *marker = strstr(prompt, TOKEN_COUNT_MARKER);
	uint64_t token_count;

	if (!marker)
		return max_tokens;
	token_count =
		g_ascii_strtoull(marker + strlen(TOKEN_COUNT_MARKER), NULL, 10);
	return CLAMP(token_count, 1, max_tokens);
}
