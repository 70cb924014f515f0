#include "private/usage.h"

#include "private/pack.h"

/* Of protocol version 2, and of the later ones. */
#define LOAD_FIELD_COUNT_2 7
#define LOAD_FIELD_COUNT 11
#define SENDS_FIELD_COUNT_2 3
#define SENDS_FIELD_COUNT 5
#define LIST_COUNT_2 2
#define LIST_COUNT 3
#define FLOW_FIELD_COUNT 4

static void flow_delete_(void *data)
{
	cb_usage_flow_t *flow = data;

	g_free(flow->service);
	g_free(flow->workspace);
	g_free(flow);
}

/* Creates an empty usage. */
cb_usage_t *cb_usage_new(void)
{
	cb_usage_t *usage = g_new0(cb_usage_t, 1);

	usage->by_server =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->by_flow = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       flow_delete_);
	return usage;
}

/* Frees a usage; NULL is allowed. */
void cb_usage_delete(void *usage)
{
	cb_usage_t *self = usage;

	if (!self)
		return;
	g_hash_table_unref(self->by_server);
	g_hash_table_unref(self->by_service);
	g_hash_table_unref(self->by_flow);
	g_free(self);
}

/* Adds what answers show, if it is of the latest process of the server. */
static void answers_add_(cb_usage_load_t *sum, const cb_usage_load_t *load)
{
	if (load->answered_start_wall_ms < sum->answered_start_wall_ms ||
	    (!load->answers && !load->failures))
		return;
	if (load->answered_start_wall_ms > sum->answered_start_wall_ms)
		sum->answers = sum->answer_percent = sum->failures = 0;
	sum->answered_start_wall_ms = load->answered_start_wall_ms;
	sum->answers += load->answers;
	sum->answer_percent += load->answer_percent;
	sum->failures += load->failures;
}

/* Adds requests in flight at a server. */
void cb_usage_add_load(cb_usage_t *usage, const char *server_id,
		       const cb_usage_load_t *load)
{
	cb_usage_load_t *sum = g_hash_table_lookup(usage->by_server, server_id);

	if (!sum) {
		sum = g_new0(cb_usage_load_t, 1);
		g_hash_table_insert(usage->by_server, g_strdup(server_id), sum);
	}
	sum->running += load->running;
	sum->token_layers += load->token_layers;
	sum->suspecting_instances += load->suspecting_instances;
	if (load->limiting_instances)
		sum->limit_per_ks =
			sum->limiting_instances ?
				MIN(sum->limit_per_ks, load->limit_per_ks) :
				load->limit_per_ks;
	sum->limiting_instances += load->limiting_instances;
	sum->limit_ended_instances += load->limit_ended_instances;
	answers_add_(sum, load);
}

/* Adds requests and retries sent to a service. */
void cb_usage_add_sends(cb_usage_t *usage, const char *service,
			const cb_usage_sends_t *sends)
{
	cb_usage_sends_t *sum = g_hash_table_lookup(usage->by_service, service);

	if (!sum) {
		sum = g_new0(cb_usage_sends_t, 1);
		g_hash_table_insert(usage->by_service, g_strdup(service), sum);
	}
	sum->requests += sends->requests;
	sum->retries += sends->retries;
	sum->pauses += sends->pauses;
	sum->long_pauses += sends->long_pauses;
}

char *cb_usage_flow_key(const char *service, uint32_t rank,
			const char *workspace)
{
	return g_strdup_printf("%s\n%u\n%s", service, rank, workspace);
}

/* Adds tokens that one workspace's requests of a rank asked for. */
void cb_usage_add_flow(cb_usage_t *usage, const char *service, uint32_t rank,
		       const char *workspace, double tokens)
{
	char *key = cb_usage_flow_key(service, rank, workspace);
	cb_usage_flow_t *sum = g_hash_table_lookup(usage->by_flow, key);

	if (sum) {
		g_free(key);
	} else {
		sum = g_new0(cb_usage_flow_t, 1);
		sum->service = g_strdup(service);
		sum->rank = rank;
		sum->workspace = g_strdup(workspace);
		g_hash_table_insert(usage->by_flow, key, sum);
	}
	sum->tokens += tokens;
}

/* Returns the counts of a service; 0 without a record. */
cb_usage_sends_t cb_usage_find_sends(const cb_usage_t *usage,
				     const char *service)
{
	const cb_usage_sends_t *sends =
		g_hash_table_lookup(usage->by_service, service);

	return sends ? *sends : (cb_usage_sends_t){ 0 };
}

/* Adds all counts of another usage. */
void cb_usage_merge(cb_usage_t *usage, const cb_usage_t *other)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, other->by_server);
	while (g_hash_table_iter_next(&iter, &key, &value))
		cb_usage_add_load(usage, key, value);
	g_hash_table_iter_init(&iter, other->by_service);
	while (g_hash_table_iter_next(&iter, &key, &value))
		cb_usage_add_sends(usage, key, value);
	g_hash_table_iter_init(&iter, other->by_flow);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_usage_flow_t *flow = value;

		cb_usage_add_flow(usage, flow->service, flow->rank,
				  flow->workspace, flow->tokens);
	}
}

/* Returns the requests in flight at a server; 0 without a record. */
cb_usage_load_t cb_usage_find_load(const cb_usage_t *usage,
				   const char *server_id)
{
	const cb_usage_load_t *load =
		g_hash_table_lookup(usage->by_server, server_id);

	return load ? *load : (cb_usage_load_t){ 0 };
}

static void load_pack_(cb_pack_t *pack, const char *server_id,
		       const cb_usage_load_t *load, gboolean is_version_2)
{
	cb_pack_array(pack,
		      is_version_2 ? LOAD_FIELD_COUNT_2 : LOAD_FIELD_COUNT);
	cb_pack_string(pack, server_id);
	cb_pack_uint(pack, load->running);
	cb_pack_uint(pack, (uint64_t)MAX(load->token_layers, 0));
	cb_pack_uint(pack, load->suspecting_instances);
	cb_pack_uint(pack, load->limiting_instances);
	cb_pack_uint(pack, load->limit_per_ks);
	cb_pack_uint(pack, load->limit_ended_instances);
	if (is_version_2)
		return;
	cb_pack_uint(pack, load->answers);
	cb_pack_uint(pack, load->answer_percent);
	cb_pack_uint(pack, load->failures);
	cb_pack_uint(pack, load->answered_start_wall_ms);
}

static void sends_pack_(cb_pack_t *pack, const char *service,
			const cb_usage_sends_t *sends, gboolean is_version_2)
{
	cb_pack_array(pack,
		      is_version_2 ? SENDS_FIELD_COUNT_2 : SENDS_FIELD_COUNT);
	cb_pack_string(pack, service);
	cb_pack_uint(pack, sends->requests);
	cb_pack_uint(pack, sends->retries);
	if (is_version_2)
		return;
	cb_pack_uint(pack, sends->pauses);
	cb_pack_uint(pack, sends->long_pauses);
}

static void flows_pack_(cb_pack_t *pack, const cb_usage_t *usage)
{
	GHashTableIter iter;
	void *value;

	cb_pack_array(pack, g_hash_table_size(usage->by_flow));
	g_hash_table_iter_init(&iter, usage->by_flow);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_usage_flow_t *flow = value;

		cb_pack_array(pack, FLOW_FIELD_COUNT);
		cb_pack_string(pack, flow->service);
		cb_pack_uint(pack, flow->rank);
		cb_pack_string(pack, flow->workspace);
		cb_pack_uint(pack, (uint64_t)MAX(flow->tokens, 0));
	}
}

/* Encodes a usage for a protocol version; the caller unrefs the bytes. */
GBytes *cb_usage_encode(const cb_usage_t *usage, uint64_t protocol)
{
	gboolean is_version_2 = protocol <= 2;
	GHashTableIter iter;
	void *key;
	cb_pack_t pack;
	void *value;

	cb_pack_init(&pack);
	cb_pack_array(&pack, is_version_2 ? LIST_COUNT_2 : LIST_COUNT);
	cb_pack_array(&pack, g_hash_table_size(usage->by_server));
	g_hash_table_iter_init(&iter, usage->by_server);
	while (g_hash_table_iter_next(&iter, &key, &value))
		load_pack_(&pack, key, value, is_version_2);
	cb_pack_array(&pack, g_hash_table_size(usage->by_service));
	g_hash_table_iter_init(&iter, usage->by_service);
	while (g_hash_table_iter_next(&iter, &key, &value))
		sends_pack_(&pack, key, value, is_version_2);
	if (!is_version_2)
		flows_pack_(&pack, usage);
	return cb_pack_finish(&pack);
}

static gboolean load_decode_(cb_usage_t *usage, const msgpack_object *object)
{
	cb_usage_load_t load = { 0 };
	cb_fields_t fields;
	char *server_id;

	cb_fields_open(&fields, object);
	server_id = cb_fields_required_string(&fields);
	load.running = (uint32_t)cb_fields_uint(&fields);
	load.token_layers = (double)cb_fields_uint(&fields);
	load.suspecting_instances = (uint32_t)cb_fields_uint(&fields);
	load.limiting_instances = (uint32_t)cb_fields_uint(&fields);
	load.limit_per_ks = (uint32_t)cb_fields_uint(&fields);
	load.limit_ended_instances = (uint32_t)cb_fields_uint(&fields);
	if (fields.unread_count) {
		load.answers = (uint32_t)cb_fields_uint(&fields);
		load.answer_percent = (uint32_t)cb_fields_uint(&fields);
		load.failures = (uint32_t)cb_fields_uint(&fields);
		load.answered_start_wall_ms = cb_fields_uint(&fields);
	}
	if (cb_fields_are_complete(&fields))
		cb_usage_add_load(usage, server_id, &load);
	g_free(server_id);
	return cb_fields_are_complete(&fields);
}

static gboolean sends_decode_(cb_usage_t *usage, const msgpack_object *object)
{
	cb_usage_sends_t sends = { 0 };
	cb_fields_t fields;
	char *service;

	cb_fields_open(&fields, object);
	service = cb_fields_required_string(&fields);
	sends.requests = (uint32_t)cb_fields_uint(&fields);
	sends.retries = (uint32_t)cb_fields_uint(&fields);
	if (fields.unread_count) {
		sends.pauses = (uint32_t)cb_fields_uint(&fields);
		sends.long_pauses = (uint32_t)cb_fields_uint(&fields);
	}
	if (cb_fields_are_complete(&fields))
		cb_usage_add_sends(usage, service, &sends);
	g_free(service);
	return cb_fields_are_complete(&fields);
}

static gboolean flow_decode_(cb_usage_t *usage, const msgpack_object *object)
{
	cb_fields_t fields;
	char *service;
	char *workspace;
	uint32_t rank;
	double tokens;

	cb_fields_open(&fields, object);
	service = cb_fields_required_string(&fields);
	rank = (uint32_t)cb_fields_uint(&fields);
	workspace = cb_fields_string(&fields);
	tokens = (double)cb_fields_uint(&fields);
	if (cb_fields_are_complete(&fields))
		cb_usage_add_flow(usage, service, rank,
				  workspace ? workspace : "", tokens);
	g_free(service);
	g_free(workspace);
	return cb_fields_are_complete(&fields);
}

/* Reads each element of an array; FALSE if one is malformed. */
static gboolean list_decode_(cb_usage_t *usage, const msgpack_object *object,
			     gboolean (*decode)(cb_usage_t *,
						const msgpack_object *))
{
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	while (fields.unread_count && !fields.is_malformed)
		if (!decode(usage, cb_fields_object(&fields)))
			fields.is_malformed = TRUE;
	return !fields.is_malformed;
}

/* Decodes what cb_usage_encode() wrote; NULL if it is malformed. */
cb_usage_t *cb_usage_decode(GBytes *bytes)
{
	cb_usage_t *usage;
	cb_unpack_t unpack;
	cb_fields_t fields;

	if (!cb_unpack_init(&unpack, bytes))
		return NULL;
	usage = cb_usage_new();
	cb_fields_open(&fields, &unpack.unpacked.data);
	if (!list_decode_(usage, cb_fields_object(&fields), load_decode_) ||
	    !list_decode_(usage, cb_fields_object(&fields), sends_decode_) ||
	    (fields.unread_count &&
	     !list_decode_(usage, cb_fields_object(&fields), flow_decode_)) ||
	    !cb_fields_are_complete(&fields))
		g_clear_pointer(&usage, cb_usage_delete);
	cb_unpack_clear(&unpack);
	return usage;
}
