#ifndef CLIENT_H
#define CLIENT_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

/*
 * Asks the control instances over HTTP, one after the other, until one of
 * them answers for the quorum or the time is up.
 */
typedef struct client client_t;

typedef struct client_request {
	const char *method;
	char *path;
	char *body;	 /* or NULL */
	char *change_id; /* or NULL */
	gboolean has_expected_revision;
	uint64_t expected_revision;
} client_request_t;

typedef enum client_outcome {
	CLIENT_ANSWERED,
	/* Nobody answered; a change was surely not accepted. */
	CLIENT_UNAVAILABLE,
	/* Nobody answered; a change may have been accepted. */
	CLIENT_UNKNOWN,
} client_outcome_t;

typedef struct client_reply {
	unsigned int status;
	char *text;
	JsonNode *json; /* or NULL */
} client_reply_t;

client_t *client_new(char **addresses, int64_t timeout_ms);
void client_delete(client_t *client);
client_outcome_t client_ask(client_t *client, const client_request_t *request,
			    client_reply_t *reply);
int64_t client_left_ms(const client_t *client);
void client_sleep(client_t *client, int64_t delay_ms);
void client_next_address(client_t *client);
const char *client_address(const client_t *client);
unsigned int client_address_count(const client_t *client);

void client_request_clear(client_request_t *request);
void client_reply_clear(client_reply_t *reply);

#endif
