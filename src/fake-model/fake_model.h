#ifndef FAKE_MODEL_H
#define FAKE_MODEL_H

#include <glib.h>
#include <stdint.h>

/*
 * The stand-in's model, as docs/BACKEND.md states it: an answer follows from
 * prompt and layers, so that whoever knows both can check it.
 */
char *fake_model_hash(const char *text);
char *fake_model_begin(const char *prompt, uint64_t token,
		       const char *previous);
char *fake_model_run(const char *hidden, uint32_t first_layer,
		     uint32_t last_layer);
char *fake_model_token(const char *prompt, uint64_t token, const char *previous,
		       uint32_t layer_count);
uint64_t fake_model_length(const char *prompt, uint64_t max_tokens);

#endif
