#ifndef CURRANTBRIDGE_TEXT_PART_H
#define CURRANTBRIDGE_TEXT_PART_H

#include <stddef.h>

/* A part of a text; refers to its bytes. */
typedef struct cb_text_part {
	const char *text;
	size_t size;
} cb_text_part_t;

#endif
