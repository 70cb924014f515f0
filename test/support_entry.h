#ifndef SUPPORT_ENTRY_H
#define SUPPORT_ENTRY_H

#include <libsoup/soup.h>

#include "support_daemons.h"

/* Entry instances with simulated backend servers, and HTTP clients of them. */
#define SUPPORT_KEY "key-handicap"
#define SUPPORT_MODEL "ruling"
#define SUPPORT_LAYERS 4

/* One simulated backend server, a process of cb-fake-backend. */
typedef struct support_backend {
	char *name;
	char *address; /* "127.0.0.1:PORT" of the server */
	/* Log file with a JSON line for each executed token or call. */
	char *effects_path;
	/* Process of the server; NULL once its exit was awaited. */
	GSubprocess *process;
} support_backend_t;

/* One streamed completion, as its HTTP client receives it. */
typedef struct support_stream {
	SoupSession *session;
	GCancellable *cancellable;
	char *prompt;
	unsigned int max_tokens;
	/* HTTP status of the response; 0 before the response. */
	unsigned int status;
	GString *received; /* bytes of the response's body received so far */
	GInputStream *body;
	char buffer[4096];
	gboolean is_over; /* whether the response ended or failed */
} support_stream_t;

void support_contract_put(support_group_t *group, const char *limits);
gboolean support_stop_announce(support_group_t *group, const char *kind,
			       const char *name);
support_daemon_t *support_entry_start(support_group_t *group, const char *name,
				      const char *extra_settings);
support_backend_t *support_backend_start(support_group_t *group,
					 const char *name,
					 support_daemon_t *const *entries,
					 const char *arguments);
void support_backend_signal(support_backend_t *backend, int signal_number);
int support_backend_wait(support_backend_t *backend);
void support_backend_delete(support_backend_t *backend);
unsigned int support_backend_effect_count(const support_backend_t *backend);
gboolean support_wait_ready(support_daemon_t *entry);
gboolean support_wait_ready_servers(support_daemon_t *entry, int count);

int64_t support_metric_value(const char *address, const char *series);
gboolean support_wait_metric(const char *address, const char *series,
			     int64_t value);
char *support_raw_exchange(const char *address, const char *request,
			   size_t size_bytes, gboolean closes_output);

support_stream_t *support_stream_start(const char *address, const char *prompt,
				       unsigned int max_tokens);
gboolean support_stream_is_complete(const support_stream_t *stream);
unsigned int support_stream_event_count(const support_stream_t *stream);
void support_stream_disconnect(support_stream_t *stream);
void support_stream_delete(support_stream_t *stream);
gboolean support_wait_streams(support_stream_t **streams, size_t count,
			      int64_t timeout_ms);

#endif
