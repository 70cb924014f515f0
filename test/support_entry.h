#ifndef SUPPORT_ENTRY_H
#define SUPPORT_ENTRY_H

#include <libsoup/soup.h>

#include "support_daemons.h"

/* Entry instances with stand-in engines, and callers of theirs. */
#define SUPPORT_KEY "key-handicap"
#define SUPPORT_MODEL "ruling"
#define SUPPORT_LAYERS 4

/* One backend server: cb-fake-backend with its arguments. */
typedef struct support_backend {
	char *name;
	char *address;
	char *effects; /* the file of what it executed */
	GSubprocess *process;
} support_backend_t;

/* One streamed completion, as its caller sees it. */
typedef struct support_stream {
	SoupSession *session;
	GCancellable *cancellable;
	char *prompt;
	unsigned int max_tokens;
	unsigned int status;
	GString *received;
	GInputStream *body;
	char buffer[4096];
	gboolean is_over;
} support_stream_t;

void support_contract_put(support_group_t *group, const char *limits);
gboolean support_stop_announce(support_group_t *group, const char *kind,
			       const char *name);
support_daemon_t *support_entry_start(support_group_t *group, const char *name,
				      const char *more);
support_backend_t *support_backend_start(support_group_t *group,
					 const char *name,
					 support_daemon_t *const *entries,
					 const char *arguments);
void support_backend_signal(support_backend_t *backend, int signal_number);
int support_backend_wait(support_backend_t *backend);
void support_backend_delete(support_backend_t *backend);
unsigned int support_backend_effects(const support_backend_t *backend);
gboolean support_wait_ready(support_daemon_t *entry);
gboolean support_wait_servers(support_daemon_t *entry, int count);

int64_t support_metric(const char *address, const char *series);
gboolean support_wait_metric(const char *address, const char *series,
			     int64_t value);
char *support_raw(const char *address, const char *request, size_t size_bytes,
		  gboolean ends);

support_stream_t *support_stream_start(const char *address, const char *prompt,
				       unsigned int max_tokens);
gboolean support_stream_is_whole(const support_stream_t *stream);
unsigned int support_stream_tokens(const support_stream_t *stream);
void support_stream_leave(support_stream_t *stream);
void support_stream_delete(support_stream_t *stream);
gboolean support_wait_streams(support_stream_t **streams, size_t count,
			      int64_t limit_ms);

#endif
