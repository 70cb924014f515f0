#include "currantbridge/fleet.h"

#include <string.h>

#include "private/fleet_server.h"
#include "private/pack.h"
#include "private/unconfigured.h"

#define SERVER_FIELD_COUNT 15
/* Smaller changes of the reported processing time are not recorded. */
#define SLOW_CHANGE_MIN_PERCENT 20
/* Older heartbeats count as this old: their servers are long gone. */
#define HEARTBEAT_AGE_MAX_MS (24 * 60 * 60 * 1000)

struct cb_fleet {
	GHashTable *by_id;
	/*
	 * Address to the ID (char *) of the server that had it last.  That
	 * server may have another address by now, or be removed.
	 */
	GHashTable *id_by_address;
	GPtrArray *sorted; /* cache of cb_fleet_servers(), or NULL */
	cb_unconfigured_t *unconfigured;
	cb_fleet_changed_fn_t change_fn;
	void *user_data;
	cb_fleet_check_fn_t check_fn; /* NULL: all servers can be used */
	void *check_user_data;
};

const char *const cb_fleet_state_string[CB_FLEET_STATE_COUNT] = {
	[CB_FLEET_READY] = "ready",
	[CB_FLEET_DRAINING] = "draining",
	[CB_FLEET_SILENT] = "silent",
	[CB_FLEET_GONE] = "gone",
};

const char *const cb_fleet_outcome_string[CB_FLEET_OUTCOME_COUNT] = {
	[CB_FLEET_NEW] = "new",
	[CB_FLEET_CHANGED] = "changed",
	[CB_FLEET_SAME] = "same",
	[CB_FLEET_STALE] = "stale",
	[CB_FLEET_INVALID] = "invalid",
	[CB_FLEET_UNCONFIGURED] = "unconfigured",
};

/* Creates an empty fleet. */
cb_fleet_t *cb_fleet_new(void)
{
	cb_fleet_t *fleet = g_new0(cb_fleet_t, 1);

	fleet->id_by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     cb_fleet_server_delete);
	fleet->unconfigured = cb_unconfigured_new();
	return fleet;
}

/* Frees a fleet; NULL is allowed. */
void cb_fleet_delete(cb_fleet_t *fleet)
{
	if (!fleet)
		return;
	g_clear_pointer(&fleet->sorted, g_ptr_array_unref);
	g_hash_table_unref(fleet->by_id);
	g_hash_table_unref(fleet->id_by_address);
	cb_unconfigured_delete(fleet->unconfigured);
	g_free(fleet);
}

/* Sets the function that is called after each change of a server. */
void cb_fleet_watch(cb_fleet_t *fleet, cb_fleet_changed_fn_t fn,
		    void *user_data)
{
	fleet->change_fn = fn;
	fleet->user_data = user_data;
}

void cb_fleet_set_check(cb_fleet_t *fleet, cb_fleet_check_fn_t fn,
			void *user_data)
{
	fleet->check_fn = fn;
	fleet->check_user_data = user_data;
}

static gboolean server_is_configured_(const cb_fleet_t *fleet,
				      const cb_fleet_server_t *server)
{
	return !fleet->check_fn ||
	       fleet->check_fn(server, fleet->check_user_data);
}

static void change_notify_(cb_fleet_t *fleet, cb_fleet_server_t *server)
{
	server->is_unsent_to_entries = TRUE;
	server->is_recorded = FALSE;
	if (fleet->change_fn)
		fleet->change_fn(server, fleet->user_data);
}

/*
 * Returns whether the difference of two records of a server must be sent to
 * other processes at once.
 */
static gboolean servers_differ_(const cb_fleet_server_t *a,
				const cb_fleet_server_t *b)
{
	return a->state != b->state || a->start_wall_ms != b->start_wall_ms ||
	       a->layer_from != b->layer_from || a->layer_to != b->layer_to ||
	       a->is_moving != b->is_moving || a->slots != b->slots ||
	       (a->cold_remaining_ms > 0) != (b->cold_remaining_ms > 0) ||
	       strcmp(a->address, b->address) != 0 ||
	       strcmp(a->service, b->service) != 0 ||
	       strcmp(a->data_centre, b->data_centre) != 0 ||
	       g_strcmp0(a->kind, b->kind) != 0;
}

/* Returns the server at an address that has not left, or NULL. */
static cb_fleet_server_t *address_holder_find_(const cb_fleet_t *fleet,
					       const char *address)
{
	const char *id = g_hash_table_lookup(fleet->id_by_address, address);
	cb_fleet_server_t *server =
		id ? g_hash_table_lookup(fleet->by_id, id) : NULL;

	return server && server->state != CB_FLEET_GONE &&
			       !strcmp(server->address, address) ?
		       server :
		       NULL;
}

/*
 * Returns whether a report lacks what the process with its ID and start has reported,
 * as that of another program may: an engine tells its kind and layers in each report.
 */
static gboolean report_lacks_fields_(const cb_fleet_server_t *known,
				     const cb_fleet_server_t *report)
{
	return known->kind && known->start_wall_ms == report->start_wall_ms &&
	       !strcmp(known->service, report->service) &&
	       (!report->kind || report->lacks_layers);
}

/*
 * Returns whether a report may change the fleet: the configuration can use its
 * server, or it is by the process that the fleet has at this address under this ID
 * already, as when the configuration no longer has its service.  All other reports
 * are kept apart; see docs/FLEET.md.
 */
static gboolean report_is_admitted_(const cb_fleet_t *fleet,
				    const cb_fleet_server_t *known,
				    const cb_fleet_server_t *report)
{
	if (known && cb_fleet_process_is_same(known, report) &&
	    address_holder_find_(fleet, report->address) == known)
		return TRUE;
	return server_is_configured_(fleet, report);
}

/*
 * Returns whether an admitted report replaces what is known of its ID: it is newer,
 * or the known process is another one that the configuration can't use.
 */
static gboolean known_is_replaced_(const cb_fleet_t *fleet,
				   const cb_fleet_server_t *known,
				   const cb_fleet_server_t *report)
{
	return cb_fleet_report_is_newer(report, known) ||
	       (strcmp(known->service, report->service) != 0 &&
		!server_is_configured_(fleet, known));
}

/*
 * Assigns the address of an admitted report to its server and marks the previous
 * holder as gone.  Returns FALSE if the current holder started later and the
 * configuration can use it.
 */
static gboolean address_assign_(cb_fleet_t *fleet,
				const cb_fleet_server_t *report)
{
	cb_fleet_server_t *holder =
		address_holder_find_(fleet, report->address);

	if (holder && !strcmp(holder->id, report->id))
		return TRUE;
	if (holder && holder->start_wall_ms > report->start_wall_ms &&
	    server_is_configured_(fleet, holder))
		return FALSE;
	if (holder) {
		holder->state = CB_FLEET_GONE;
		change_notify_(fleet, holder);
	}
	g_hash_table_replace(fleet->id_by_address, g_strdup(report->address),
			     g_strdup(report->id));
	return TRUE;
}

/*
 * Returns whether the server, once `report` is applied, counts as ordered to
 * load other layers (`is_moving`).  The server's own heartbeats don't report
 * the order, so the flag stays set until its layers change or it restarts.
 */
static gboolean moving_merge_(const cb_fleet_server_t *known,
			      const cb_fleet_server_t *report)
{
	return (report->is_moving || known->is_moving) &&
	       cb_fleet_process_is_same(known, report) &&
	       known->layer_from == report->layer_from &&
	       known->layer_to == report->layer_to;
}

/*
 * Replaces the record of a server by a report on it.  Returns whether other
 * processes must be told at once.
 */
static gboolean known_update_(cb_fleet_server_t *known,
			      const cb_fleet_server_t *report, int64_t now_ms)
{
	cb_fleet_server_t next;
	gboolean is_changed;

	cb_fleet_server_copy(&next, report);
	next.last_heartbeat_ms = now_ms;
	next.state = cb_fleet_state_merge(known, report);
	next.is_moving = moving_merge_(known, report);
	if (cb_fleet_process_is_same(known, report) && !report->slow_percent)
		next.slow_percent = known->slow_percent;
	is_changed = servers_differ_(known, &next);
	next.is_unsent_to_entries = known->is_unsent_to_entries;
	next.is_recorded = known->is_recorded;
	/* The hash table's key is the existing ID string. */
	g_free(next.id);
	next.id = g_steal_pointer(&known->id);
	cb_fleet_server_clear(known);
	*known = next;
	return is_changed;
}

/* Adds the record of a server whose ID is not known. */
static cb_fleet_server_t *server_add_(cb_fleet_t *fleet,
				      const cb_fleet_server_t *report,
				      int64_t now_ms)
{
	cb_fleet_server_t *server = g_new0(cb_fleet_server_t, 1);

	cb_fleet_server_copy(server, report);
	server->last_heartbeat_ms = now_ms;
	g_hash_table_insert(fleet->by_id, server->id, server);
	g_clear_pointer(&fleet->sorted, g_ptr_array_unref);
	return server;
}

/*
 * Applies a report, or keeps it apart.  `is_unsent_to_control`: whether the other
 * control instances don't have it.
 */
static cb_fleet_outcome_t report_apply_(cb_fleet_t *fleet,
					const cb_fleet_server_t *report,
					int64_t now_ms,
					gboolean is_unsent_to_control)
{
	cb_fleet_server_t *known =
		g_hash_table_lookup(fleet->by_id, report->id);
	gboolean is_changed = TRUE;

	if (cb_fleet_server_fault(report))
		return CB_FLEET_INVALID;
	if (known && report_lacks_fields_(known, report))
		return CB_FLEET_INVALID;
	if (!report_is_admitted_(fleet, known, report)) {
		cb_unconfigured_put(fleet->unconfigured, report, now_ms,
				    is_unsent_to_control);
		return CB_FLEET_UNCONFIGURED;
	}
	if (known && !known_is_replaced_(fleet, known, report))
		return CB_FLEET_STALE;
	if (report->state != CB_FLEET_GONE && !address_assign_(fleet, report))
		return CB_FLEET_STALE;
	if (known)
		is_changed = known_update_(known, report, now_ms);
	else
		known = server_add_(fleet, report, now_ms);
	known->is_unsent_to_control = is_unsent_to_control;
	if (!is_changed)
		return CB_FLEET_SAME;
	change_notify_(fleet, known);
	return CB_FLEET_CHANGED;
}

/*
 * Applies a heartbeat, or a report by another process.  `now_ms` is when the
 * server's last heartbeat was received.
 */
cb_fleet_outcome_t cb_fleet_update(cb_fleet_t *fleet,
				   const cb_fleet_server_t *report,
				   int64_t now_ms)
{
	return report_apply_(fleet, report, now_ms, TRUE);
}

const cb_fleet_server_t *cb_fleet_find_at(const cb_fleet_t *fleet,
					  const char *address)
{
	return address_holder_find_(fleet, address);
}

unsigned int cb_fleet_unconfigured_count(const cb_fleet_t *fleet)
{
	return cb_unconfigured_count(fleet->unconfigured);
}

void cb_fleet_admit_configured(cb_fleet_t *fleet)
{
	GPtrArray *admitted;
	unsigned int i;

	if (!fleet->check_fn || !cb_fleet_unconfigured_count(fleet))
		return;
	admitted = cb_unconfigured_take(fleet->unconfigured, fleet->check_fn,
					fleet->check_user_data);
	for (i = 0; i < admitted->len; i++) {
		const cb_fleet_server_t *server = admitted->pdata[i];

		(void)report_apply_(fleet, server, server->last_heartbeat_ms,
				    server->is_unsent_to_control);
	}
	g_ptr_array_unref(admitted);
}

gboolean cb_fleet_drain_unconfigured(cb_fleet_t *fleet, const char *id,
				     const char *service, int64_t start_wall_ms)
{
	return cb_unconfigured_drain(fleet->unconfigured, id, service,
				     start_wall_ms);
}

void cb_fleet_set_slow_percent(cb_fleet_t *fleet, const char *id,
			       uint32_t slow_percent)
{
	cb_fleet_server_t *known = g_hash_table_lookup(fleet->by_id, id);
	uint32_t current_percent;

	if (!known)
		return;
	current_percent = known->slow_percent ? known->slow_percent : 100;
	if (MAX(current_percent, slow_percent) -
		    MIN(current_percent, slow_percent) <
	    SLOW_CHANGE_MIN_PERCENT)
		return;
	known->slow_percent = slow_percent;
	known->is_unsent_to_control = TRUE;
	change_notify_(fleet, known);
}

void cb_fleet_set_silent(cb_fleet_t *fleet, const char *id)
{
	cb_fleet_server_t *known = g_hash_table_lookup(fleet->by_id, id);

	if (!known || known->state != CB_FLEET_READY)
		return;
	known->state = CB_FLEET_SILENT;
	known->is_unsent_to_control = TRUE;
	change_notify_(fleet, known);
}

void cb_fleet_set_recorded(cb_fleet_t *fleet, const char *id,
			   gboolean is_recorded)
{
	cb_fleet_server_t *known = g_hash_table_lookup(fleet->by_id, id);

	if (known)
		known->is_recorded = is_recorded;
}

void cb_fleet_set_moving(cb_fleet_t *fleet, const char *id, gboolean is_moving)
{
	cb_fleet_server_t *known = g_hash_table_lookup(fleet->by_id, id);

	if (!known || known->is_moving == is_moving)
		return;
	known->is_moving = is_moving;
	known->is_unsent_to_control = TRUE;
	change_notify_(fleet, known);
}

/*
 * Marks servers as silent after `silence_ms` without a heartbeat, and as gone
 * after `forget_ms`.  Removes them after twice `forget_ms`, and those of
 * unconfigured services after `silence_ms`.
 */
void cb_fleet_expire(cb_fleet_t *fleet, int64_t now_ms, int64_t silence_ms,
		     int64_t forget_ms)
{
	GHashTableIter iter;
	void *value;

	cb_unconfigured_expire(fleet->unconfigured, now_ms, silence_ms);
	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_fleet_server_t *server = value;
		int64_t age_ms = now_ms - server->last_heartbeat_ms;

		if (age_ms >= forget_ms && server->state != CB_FLEET_GONE) {
			server->state = CB_FLEET_GONE;
			change_notify_(fleet, server);
		} else if (age_ms >= 2 * forget_ms) {
			g_hash_table_iter_remove(&iter);
			g_clear_pointer(&fleet->sorted, g_ptr_array_unref);
		} else if (age_ms >= silence_ms &&
			   server->state != CB_FLEET_GONE &&
			   server->state != CB_FLEET_SILENT) {
			server->state = CB_FLEET_SILENT;
			change_notify_(fleet, server);
		}
	}
}

/* Returns the server with this ID, or NULL. */
const cb_fleet_server_t *cb_fleet_find(const cb_fleet_t *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

/* Returns the number of servers, those that are gone included. */
unsigned int cb_fleet_count(const cb_fleet_t *fleet)
{
	return g_hash_table_size(fleet->by_id);
}

static int ids_compare_(const void *a, const void *b)
{
	const cb_fleet_server_t *left = *(const cb_fleet_server_t *const *)a;
	const cb_fleet_server_t *right = *(const cb_fleet_server_t *const *)b;

	return strcmp(left->id, right->id);
}

/* Returns all servers, sorted by ID. */
const GPtrArray *cb_fleet_servers(const cb_fleet_t *fleet)
{
	/* The list is only a cache, so a const fleet may fill it. */
	GPtrArray **cache = (GPtrArray **)&fleet->sorted;
	GHashTableIter iter;
	void *value;

	if (*cache)
		return *cache;
	*cache = g_ptr_array_new();
	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(*cache, value);
	g_ptr_array_sort(*cache, ids_compare_);
	return *cache;
}

/* Returns the key of one server process in the table of planned stops. */
char *cb_fleet_start_name(const cb_fleet_server_t *server)
{
	return g_strdup_printf("%s/%" G_GINT64_FORMAT, server->id,
			       server->start_wall_ms);
}

gboolean cb_fleet_is_stopped(const cb_fleet_server_t *server,
			     const cb_view_t *view)
{
	char *start = cb_fleet_start_name(server);
	gboolean is_stopped = cb_view_is_stopped(view, CB_STOP_SERVER, start);

	g_free(start);
	return is_stopped;
}

void cb_fleet_log(cb_log_t *log, const cb_fleet_server_t *server)
{
	cb_log_event(log, CB_EVENT_FLEET_SERVER, CB_STR("id", server->id),
		     CB_STR("address", server->address),
		     CB_STR("service", server->service),
		     CB_STR("data_centre", server->data_centre),
		     CB_STR("state", cb_fleet_state_string[server->state]),
		     CB_INT("layer_from", server->layer_from),
		     CB_INT("layer_to", server->layer_to),
		     CB_INT("moving", server->is_moving),
		     CB_INT("slow_percent", server->slow_percent),
		     CB_INT("born_wall_ms", server->start_wall_ms),
		     CB_INT("sequence", server->sequence));
}

static void server_encode_(cb_pack_t *pack, const cb_fleet_server_t *server,
			   int64_t now_ms)
{
	cb_pack_array(pack, SERVER_FIELD_COUNT);
	cb_pack_string(pack, server->id);
	cb_pack_string(pack, server->service);
	cb_pack_string(pack, server->address);
	cb_pack_string(pack, server->data_centre);
	cb_pack_string(pack, server->kind);
	cb_pack_int(pack, server->start_wall_ms);
	cb_pack_uint(pack, server->sequence);
	cb_pack_uint(pack, server->state);
	cb_pack_uint(pack, server->slots);
	cb_pack_int(pack, server->cold_remaining_ms);
	cb_pack_uint(pack, server->layer_from);
	cb_pack_uint(pack, server->layer_to);
	cb_pack_bool(pack, server->is_moving);
	cb_pack_uint(pack, server->slow_percent);
	cb_pack_int(pack, MAX(now_ms - server->last_heartbeat_ms, 0));
}

static gboolean server_is_selected_(const cb_fleet_server_t *server,
				    cb_fleet_selection_t selection)
{
	return selection == CB_FLEET_ALL ||
	       (selection == CB_FLEET_UNSENT_TO_ENTRIES &&
		server->is_unsent_to_entries) ||
	       (selection == CB_FLEET_UNSENT_TO_CONTROL &&
		server->is_unsent_to_control);
}

/* Encodes the selected servers and marks them as sent. */
GBytes *cb_fleet_encode(cb_fleet_t *fleet, cb_fleet_selection_t selection,
			int64_t now_ms)
{
	GPtrArray *selected = g_ptr_array_new();
	GBytes *bytes = NULL;
	GHashTableIter iter;
	cb_pack_t pack;
	unsigned int i;
	void *value;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (server_is_selected_(value, selection))
			g_ptr_array_add(selected, value);
	if (!selected->len)
		goto out;
	cb_pack_init(&pack);
	cb_pack_array(&pack, selected->len);
	for (i = 0; i < selected->len; i++) {
		cb_fleet_server_t *server = selected->pdata[i];

		server_encode_(&pack, server, now_ms);
		if (selection == CB_FLEET_UNSENT_TO_ENTRIES)
			server->is_unsent_to_entries = FALSE;
		else if (selection == CB_FLEET_UNSENT_TO_CONTROL)
			server->is_unsent_to_control = FALSE;
	}
	bytes = cb_pack_finish(&pack);
out:
	g_ptr_array_unref(selected);
	return bytes;
}

GBytes *cb_fleet_encode_server(const cb_fleet_server_t *server)
{
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, 1);
	server_encode_(&pack, server, server->last_heartbeat_ms);
	return cb_pack_finish(&pack);
}

/* Reads a number; one out of range marks the record as malformed. */
static uint32_t uint32_read_(cb_fields_t *fields)
{
	uint64_t value = cb_fields_uint(fields);

	if (value > UINT32_MAX)
		fields->is_malformed = TRUE;
	return (uint32_t)value;
}

/* Decodes one server.  Returns the age of its last heartbeat in ms, or -1. */
static int64_t server_decode_(const msgpack_object *object,
			      cb_fleet_server_t *server)
{
	cb_fields_t fields;
	int64_t age_ms;

	cb_fields_open(&fields, object);
	server->id = cb_fields_required_string(&fields);
	server->service = cb_fields_required_string(&fields);
	server->address = cb_fields_required_string(&fields);
	server->data_centre = cb_fields_required_string(&fields);
	server->kind = cb_fields_string(&fields);
	server->start_wall_ms = cb_fields_int(&fields);
	server->sequence = cb_fields_uint(&fields);
	server->state = cb_fields_enum(&fields, CB_FLEET_STATE_COUNT);
	server->slots = uint32_read_(&fields);
	server->cold_remaining_ms = cb_fields_int(&fields);
	server->layer_from = uint32_read_(&fields);
	server->layer_to = uint32_read_(&fields);
	server->is_moving = cb_fields_bool(&fields);
	server->slow_percent = uint32_read_(&fields);
	age_ms = cb_fields_int(&fields);
	return cb_fields_are_complete(&fields) && age_ms >= 0 ?
		       MIN(age_ms, HEARTBEAT_AGE_MAX_MS) :
		       -1;
}

/*
 * Merges what another process has observed of a server since the same
 * heartbeat: that it is silent, gone, moving or slow.
 */
static void observation_merge_(cb_fleet_t *fleet, cb_fleet_server_t *known,
			       const cb_fleet_server_t *report)
{
	gboolean is_worse = report->state == CB_FLEET_GONE ||
			    (report->state == CB_FLEET_SILENT &&
			     known->state != CB_FLEET_GONE);

	if ((!is_worse || known->state == report->state) &&
	    known->is_moving == report->is_moving &&
	    known->slow_percent == report->slow_percent)
		return;
	if (is_worse)
		known->state = report->state;
	known->is_moving = report->is_moving;
	known->slow_percent = report->slow_percent;
	change_notify_(fleet, known);
}

/*
 * Merges a report by another process.  Silence is observed by that process and
 * not reported by the server, so the report may carry the sequence of the
 * current record.
 */
static void server_merge_(cb_fleet_t *fleet, const cb_fleet_server_t *report,
			  int64_t last_heartbeat_ms)
{
	cb_fleet_server_t *known =
		g_hash_table_lookup(fleet->by_id, report->id);
	cb_fleet_outcome_t outcome =
		report_apply_(fleet, report, last_heartbeat_ms, FALSE);

	if (outcome == CB_FLEET_UNCONFIGURED)
		return;
	if (outcome == CB_FLEET_STALE && known &&
	    cb_fleet_process_is_same(known, report) &&
	    known->sequence == report->sequence)
		observation_merge_(fleet, known, report);
	known = g_hash_table_lookup(fleet->by_id, report->id);
	if (known)
		known->is_unsent_to_control = FALSE;
}

/*
 * Returns whether what cb_fleet_encode_server() wrote tells the same of the
 * server, but for its later heartbeats.
 */
gboolean cb_fleet_record_matches(const cb_fleet_server_t *server, GBytes *bytes)
{
	cb_fleet_server_t recorded = { 0 };
	gboolean is_same = FALSE;
	cb_unpack_t unpack;
	cb_fields_t fields;

	if (!cb_unpack_init(&unpack, bytes))
		return FALSE;
	cb_fields_open(&fields, &unpack.unpacked.data);
	if (server_decode_(cb_fields_object(&fields), &recorded) >= 0)
		is_same = !servers_differ_(&recorded, server) &&
			  recorded.slow_percent == server->slow_percent;
	cb_fleet_server_clear(&recorded);
	cb_unpack_clear(&unpack);
	return is_same;
}

/* Merges what cb_fleet_encode() wrote in another process. */
gboolean cb_fleet_merge(cb_fleet_t *fleet, GBytes *bytes, int64_t now_ms)
{
	gboolean is_valid = FALSE;
	cb_unpack_t unpack;
	cb_fields_t fields;

	if (!cb_unpack_init(&unpack, bytes))
		return FALSE;
	cb_fields_open(&fields, &unpack.unpacked.data);
	while (fields.unread_count && !fields.is_malformed) {
		cb_fleet_server_t report = { 0 };
		int64_t age_ms =
			server_decode_(cb_fields_object(&fields), &report);

		if (age_ms >= 0)
			server_merge_(fleet, &report, now_ms - age_ms);
		else
			fields.is_malformed = TRUE;
		cb_fleet_server_clear(&report);
	}
	is_valid = !fields.is_malformed;
	cb_unpack_clear(&unpack);
	return is_valid;
}
