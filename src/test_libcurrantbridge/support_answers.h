#ifndef SUPPORT_ANSWERS_H
#define SUPPORT_ANSWERS_H

#include <glib.h>

/* The ways in which a server's HTTP answer can end, for tests of its readers. */
typedef enum answer_framing {
	ANSWER_WITH_LENGTH,
	ANSWER_IN_CHUNKS,
	ANSWER_UNTIL_CLOSE, /* neither a length nor chunks */
} answer_framing_t;

/* The place after which nothing more of the answer is sent. */
typedef enum answer_cut {
	CUT_IN_HEAD,
	CUT_AFTER_HEAD,
	CUT_BETWEEN_PIECES, /* after the first of the body's two pieces */
	CUT_IN_LENGTH_LINE, /* inside the line with a chunk's length */
	CUT_IN_PIECE,	    /* inside the second piece */
	CUT_IN_TRAILERS,    /* after the line of the last chunk */
	CUT_NOWHERE,	    /* the answer is whole */
} answer_cut_t;

/* A way to end: where, and whether the connection is closed or reset there. */
typedef struct answer_end_row {
	answer_framing_t framing;
	answer_cut_t cut;
	gboolean is_reset;
} answer_end_row_t;

/* Calls `fn` with every row. */
void support_answer_rows_play(void (*fn)(const answer_end_row_t *row,
					 void *user_data),
			      void *user_data);
/* Returns whether the answer is complete by its HTTP framing alone. */
gboolean support_answer_is_framed_whole(const answer_end_row_t *row);
/*
 * Returns the bytes of a 200 answer up to the cut, to be freed.  `headers` are
 * lines that end in CRLF; the body consists of two pieces.
 */
char *support_answer_format(const answer_end_row_t *row, const char *headers,
			    const char *first_piece, const char *second_piece);
/* Returns a description of the row, to be freed. */
char *support_answer_describe(const answer_end_row_t *row);

#endif
