#include "support_answers.h"

#include <string.h>

static const char *const framing_names[] = {
	[ANSWER_WITH_LENGTH] = "length",
	[ANSWER_IN_CHUNKS] = "chunks",
	[ANSWER_UNTIL_CLOSE] = "until close",
};

static const char *const cut_names[] = {
	[CUT_IN_HEAD] = "in the head",
	[CUT_AFTER_HEAD] = "after the head",
	[CUT_BETWEEN_PIECES] = "between two pieces",
	[CUT_IN_LENGTH_LINE] = "in the line of a chunk's length",
	[CUT_IN_PIECE] = "inside a piece",
	[CUT_IN_TRAILERS] = "in the trailers",
	[CUT_NOWHERE] = "nowhere",
};

/* Returns whether a combination exists and has one right outcome. */
static gboolean row_is_valid_(const answer_end_row_t *row)
{
	gboolean is_chunk_cut =
		row->cut == CUT_IN_LENGTH_LINE || row->cut == CUT_IN_TRAILERS;

	if (is_chunk_cut && row->framing != ANSWER_IN_CHUNKS)
		return FALSE;
	/* A reset may overtake the end of an answer that is already whole. */
	return row->cut != CUT_NOWHERE || !row->is_reset ||
	       row->framing == ANSWER_UNTIL_CLOSE;
}

void support_answer_rows_play(void (*fn)(const answer_end_row_t *row,
					 void *user_data),
			      void *user_data)
{
	answer_end_row_t row;
	int framing;
	int cut;

	for (framing = 0; framing <= ANSWER_UNTIL_CLOSE; framing++)
		for (cut = 0; cut <= CUT_NOWHERE; cut++)
			for (row.is_reset = FALSE; row.is_reset <= TRUE;
			     row.is_reset++) {
				row.framing = (answer_framing_t)framing;
				row.cut = (answer_cut_t)cut;
				if (row_is_valid_(&row))
					fn(&row, user_data);
			}
}

gboolean support_answer_is_framed_whole(const answer_end_row_t *row)
{
	if (row->framing == ANSWER_UNTIL_CLOSE)
		return row->cut != CUT_IN_HEAD && !row->is_reset;
	return row->cut == CUT_NOWHERE;
}

/* Appends a chunk with `size` bytes of `piece`, which may be cut. */
static void chunk_append_(GString *text, const char *piece, size_t size)
{
	g_string_append_printf(text, "%zx\r\n", strlen(piece));
	g_string_append_len(text, piece, (gssize)size);
	if (size == strlen(piece))
		g_string_append(text, "\r\n");
}

/* Appends a body in chunks, up to the cut. */
static void chunks_append_(GString *text, answer_cut_t cut, const char *first,
			   const char *second)
{
	size_t second_size = strlen(second);

	chunk_append_(text, first, strlen(first));
	if (cut == CUT_BETWEEN_PIECES)
		return;
	if (cut == CUT_IN_LENGTH_LINE) {
		g_string_append_printf(text, "%zx", second_size);
		return;
	}
	chunk_append_(text, second,
		      cut == CUT_IN_PIECE ? second_size / 2 : second_size);
	if (cut == CUT_IN_PIECE)
		return;
	g_string_append(text, cut == CUT_IN_TRAILERS ? "0\r\n" : "0\r\n\r\n");
}

/* Appends a body without chunks, up to the cut. */
static void plain_body_append_(GString *text, answer_cut_t cut,
			       const char *first, const char *second)
{
	size_t second_size = strlen(second);

	g_string_append(text, first);
	if (cut == CUT_BETWEEN_PIECES)
		return;
	g_string_append_len(text, second,
			    (gssize)(cut == CUT_IN_PIECE ? second_size / 2 :
							   second_size));
}

char *support_answer_format(const answer_end_row_t *row, const char *headers,
			    const char *first_piece, const char *second_piece)
{
	GString *text = g_string_new("HTTP/1.1 200 OK\r\n");

	g_string_append(text, headers);
	if (row->framing == ANSWER_WITH_LENGTH)
		g_string_append_printf(text, "Content-Length: %zu\r\n",
				       strlen(first_piece) +
					       strlen(second_piece));
	else if (row->framing == ANSWER_IN_CHUNKS)
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	if (row->cut == CUT_IN_HEAD)
		return g_string_free(text, FALSE);
	g_string_append(text, "\r\n");
	if (row->cut == CUT_AFTER_HEAD)
		return g_string_free(text, FALSE);
	if (row->framing == ANSWER_IN_CHUNKS)
		chunks_append_(text, row->cut, first_piece, second_piece);
	else
		plain_body_append_(text, row->cut, first_piece, second_piece);
	return g_string_free(text, FALSE);
}

char *support_answer_describe(const answer_end_row_t *row)
{
	return g_strdup_printf("%s, cut %s, %s", framing_names[row->framing],
			       cut_names[row->cut],
			       row->is_reset ? "reset" : "closed");
}
