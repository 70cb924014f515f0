#ifndef CLIENT_H
#define CLIENT_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

/*
 * An HTTP client of the control instances.  It sends a request to one after
 * the other until one of them answers on behalf of the quorum or the
 * client's deadline has passed.
 */
typedef struct client client_t;

typedef struct client_request {
	const char *method;
	char *path;	 /* path and query of the URL, starting with "/" */
	char *body;	 /* body of the request as JSON text, or NULL */
	char *change_id; /* ID of the change that is requested, or NULL */
	gboolean has_expected_revision;
	uint64_t expected_revision;
} client_request_t;

typedef enum client_outcome {
	CLIENT_ANSWERED,
	/* No instance gave a result; the request was not executed. */
	CLIENT_NOT_EXECUTED,
	/* No instance gave a result; the request may have been executed. */
	CLIENT_MAYBE_EXECUTED,
} client_outcome_t;

typedef struct client_reply {
	unsigned int status; /* HTTP status of the reply */
	char *text;	     /* text of the reply's body */
	/* The reply's parsed body; NULL if it is not JSON. */
	JsonNode *json;
} client_reply_t;

client_t *client_new(char **addresses, int64_t timeout_ms);
void client_delete(client_t *client);
client_outcome_t client_send(client_t *client, const client_request_t *request,
			     client_reply_t *reply);
int64_t client_remaining_ms(const client_t *client);
void client_sleep(client_t *client, int64_t delay_ms);
void client_select_next_address(client_t *client);
const char *client_address(const client_t *client);
unsigned int client_address_count(const client_t *client);

void client_request_clear(client_request_t *request);
void client_reply_clear(client_reply_t *reply);

#endif
