#ifndef CURRANTBRIDGE_DOCUMENT_CHECK_H
#define CURRANTBRIDGE_DOCUMENT_CHECK_H

#include "currantbridge/document.h"

/*
 * Checks a configuration document before it is sent, and compares two.  Errors
 * are those of the decoding, by which control refuses the document; warnings
 * are about documents that control accepts.  Keys are never repeated.
 */

typedef enum cb_finding_level {
	CB_FINDING_ERROR, /* control refuses the document or ignores it */
	CB_FINDING_WARNING,
	CB_FINDING_LEVEL_COUNT
} cb_finding_level_t;

typedef enum cb_finding_kind {
	CB_FINDING_INVALID,
	CB_FINDING_NEVER_USED,	  /* an entry that no request can match */
	CB_FINDING_CONTRADICTION, /* limits of which one defeats another */
	CB_FINDING_AMBIGUOUS,	  /* two entries of one name */
	CB_FINDING_KIND_COUNT
} cb_finding_kind_t;

/* The kinds of entries of a document. */
typedef enum cb_document_part {
	CB_PART_DOCUMENT, /* the document itself; its entry has no name */
	CB_PART_ROUTE,
	CB_PART_SERVICE,
	CB_PART_WORKSPACE,
	CB_PART_LIMITS, /* has no name */
	CB_PART_COUNT
} cb_document_part_t;

typedef struct cb_finding {
	cb_finding_level_t level;
	cb_finding_kind_t kind;
	cb_document_part_t part;
	/*
	 * name of the entry, or "#N" for the Nth route if its text is invalid;
	 * empty for a part without a name
	 */
	char *name;
	char *field; /* name of the field; empty if none is to blame */
	char *reason;
} cb_finding_t;

typedef enum cb_change_kind {
	CB_CHANGE_ADDED,
	CB_CHANGE_REMOVED,
	CB_CHANGE_CHANGED,
	CB_CHANGE_KIND_COUNT
} cb_change_kind_t;

typedef struct cb_field_change {
	const char *field;
	char *before;
	char *after;
} cb_field_change_t;

/* What became of one entry between two documents. */
typedef struct cb_document_change {
	cb_change_kind_t kind;
	cb_document_part_t part;
	char *name; /* empty for a part without a name */
	/*
	 * of cb_field_change_t; of an entry that was added or removed, only the
	 * number of its keys
	 */
	GArray *fields;
} cb_document_change_t;

extern const char *const cb_finding_level_string[CB_FINDING_LEVEL_COUNT];
extern const char *const cb_finding_kind_string[CB_FINDING_KIND_COUNT];
extern const char *const cb_document_part_string[CB_PART_COUNT];
extern const char *const cb_change_kind_string[CB_CHANGE_KIND_COUNT];

/* Creates an empty list of findings (cb_finding_t). */
GPtrArray *cb_findings_new(void);
/*
 * Decodes a text as control does and appends its errors to `findings`, of each
 * route one; without errors, the warnings of cb_document_check().  Returns the
 * document, or NULL after an error.
 */
cb_document_t *cb_document_check_text(const cb_document_codec_t *codec,
				      const char *text, size_t size,
				      GPtrArray *findings);
/* Appends the warnings about a document that was decoded without an error. */
void cb_document_check(const cb_document_t *document, GPtrArray *findings);
/*
 * Returns the differences (cb_document_change_t) between two documents except for
 * their versions, by the names of routes, services and workspaces; the caller
 * unrefs the list.  The second route of a name is "NAME #2" here.
 */
GPtrArray *cb_document_compare(const cb_document_t *before,
			       const cb_document_t *after);
/* Appends an error if `document` can't replace the one in force. */
void cb_document_check_version(const cb_document_t *document,
			       const cb_document_t *in_force,
			       GPtrArray *findings);

#endif
