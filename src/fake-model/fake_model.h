#ifndef FAKE_MODEL_H
#define FAKE_MODEL_H

#include <glib.h>
#include <stdint.h>

/*
 * The deterministic model of the fake backend, specified in docs/BACKEND.md.
 * The answer depends only on the prompt and the number of layers, so that a
 * client that knows both can check it.
 */
char *fake_model_hash(const char *text);
char *fake_model_initial_state(const char *prompt, uint64_t token,
			       const char *previous);
char *fake_model_run_layers(const char *hidden, uint32_t first_layer,
			    uint32_t last_layer);
char *fake_model_token(const char *prompt, uint64_t token, const char *previous,
		       uint32_t layer_count);
uint64_t fake_model_token_count(const char *prompt, uint64_t max_tokens);

#endif
