#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <stdint.h>

/*
 * A small deployment on loopback for the cases of the review: the project's
 * control and entry instances as processes, and stand-ins of the platform, of
 * the operator, of backend servers and of callers as threads of this process.
 */

/* Exit codes of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NOT_RUN 2

/* The longest wait for the deployment to serve its first requests. */
#define RIG_START_MAX_MS 30000

typedef struct rig rig_t;

/* A whole answer of HTTP/1.1, or what came of it. */
typedef struct rig_answer {
	unsigned int status; /* 0: there is no whole head */
	GString *head;
	GString *body;
	gboolean is_whole;
} rig_answer_t;

/* A request that a stand-in of a server has received whole. */
typedef struct rig_request {
	int fd;
	char *head;
	char *method;
	char *target;
	GString *body;
	/* What the handler keeps for the connection; starts as NULL. */
	GString *kept;
} rig_request_t;

typedef struct rig_server rig_server_t;

/*
 * Answers a request on its connection.  Returns FALSE if the connection is to
 * be closed.
 */
typedef gboolean (*rig_handler_fn_t)(rig_server_t *server,
				     rig_request_t *request);

/* Returns the members of a heartbeat beside those that all servers have. */
typedef char *(*rig_beat_fn_t)(rig_server_t *server);

/* A stand-in of a backend server, which announces itself. */
struct rig_server {
	rig_t *rig;
	unsigned int number;
	char *id;
	char *address;
	char *zone;
	const char *service;
	unsigned int slots;
	int64_t born_wall_ms;
	rig_handler_fn_t handle;
	rig_beat_fn_t beat; /* may be NULL */
	void *user_data;
	int listen_fd;
	uint64_t sequence;
};

rig_t *rig_new(unsigned int controls, unsigned int entries,
	       const char *record_path);
gboolean rig_start(rig_t *rig);
void rig_delete(rig_t *rig);

int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t ms);
void rig_record(rig_t *rig, const char *format, ...) G_GNUC_PRINTF(2, 3);
gboolean rig_has_trouble(void);

unsigned int rig_control_count(const rig_t *rig);
unsigned int rig_entry_count(const rig_t *rig);
const char *rig_control(const rig_t *rig, unsigned int number);
const char *rig_entry(const rig_t *rig, unsigned int number);
unsigned int rig_control_ends(rig_t *rig, unsigned int number);
unsigned int rig_entry_ends(rig_t *rig, unsigned int number);

gboolean rig_exchange(const char *address, const char *text, int64_t timeout_ms,
		      rig_answer_t *answer);
void rig_answer_clear(rig_answer_t *answer);
char *rig_header(const char *head, const char *name);
gboolean rig_send(int fd, const char *data, size_t size);
gboolean rig_send_text(int fd, const char *text);
char *rig_random_id(void);

unsigned int rig_config_put(rig_t *rig, unsigned int control, const char *text);
gboolean rig_config_put_until(rig_t *rig, const char *text);

rig_server_t *rig_server_start(rig_t *rig, unsigned int number,
			       const char *service, unsigned int slots,
			       rig_handler_fn_t handle, rig_beat_fn_t beat,
			       void *user_data);

#endif
