#ifndef PRIVATE_DIGEST_H
#define PRIVATE_DIGEST_H

#include <glib.h>
#include <stdint.h>

char *cb_digest_text(const char *const *parts, size_t part_count, GBytes *body);
uint64_t cb_digest_rank(const char *digest, const char *name);

#endif
