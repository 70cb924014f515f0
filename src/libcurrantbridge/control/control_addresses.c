#include "private/control_addresses.h"

/* An address that failed is tried again after this time, or if all have. */
#define OUTCOME_VALID_MS 3000

/* How the last attempt at an address ended. */
typedef struct attempt {
	cb_address_outcome_t outcome;
	int64_t ended_ms;
} attempt_t;

struct cb_control_addresses {
	cb_clock_t *clock;
	GRand *random;
	char **configured; /* addresses from the settings */
	char **announced;  /* addresses announced by control */
	/* Announced addresses, then the other configured ones. */
	char **all;
	size_t count;
	size_t current;
	GHashTable *attempts; /* attempt_t by address */
};

/* Builds the list; the current address stays selected if it is listed. */
static void list_build_(cb_control_addresses_t *addresses)
{
	GStrvBuilder *builder = g_strv_builder_new();
	char **former = addresses->all;
	const char *current = former ? former[addresses->current] : NULL;
	char **address;
	size_t i;

	g_strv_builder_addv(builder, (const char **)addresses->announced);
	for (address = addresses->configured; *address; address++)
		if (!g_strv_contains((const char *const *)addresses->announced,
				     *address))
			g_strv_builder_add(builder, *address);
	addresses->all = g_strv_builder_end(builder);
	addresses->count = g_strv_length(addresses->all);
	addresses->current = 0;
	for (i = 0; current && i < addresses->count; i++)
		if (g_str_equal(addresses->all[i], current))
			addresses->current = i;
	g_strv_builder_unref(builder);
	g_strfreev(former);
}

/*
 * Creates the list from one or more configured addresses, with a random one as
 * the current one.  `clock` and `random` must outlive it.
 */
cb_control_addresses_t *cb_control_addresses_new(cb_clock_t *clock,
						 GRand *random,
						 const char *const *configured)
{
	cb_control_addresses_t *addresses = g_new0(cb_control_addresses_t, 1);

	addresses->clock = clock;
	addresses->random = random;
	addresses->configured = g_strdupv((char **)configured);
	addresses->announced = g_new0(char *, 1);
	addresses->attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_build_(addresses);
	addresses->current =
		(size_t)g_rand_int_range(random, 0, (int)addresses->count);
	return addresses;
}

/* Frees a list; NULL is allowed. */
void cb_control_addresses_delete(cb_control_addresses_t *addresses)
{
	if (!addresses)
		return;
	g_strfreev(addresses->configured);
	g_strfreev(addresses->announced);
	g_strfreev(addresses->all);
	g_hash_table_unref(addresses->attempts);
	g_free(addresses);
}

/* Replaces the addresses of the settings. */
void cb_control_addresses_configure(cb_control_addresses_t *addresses,
				    const char *const *configured)
{
	g_strfreev(addresses->configured);
	addresses->configured = g_strdupv((char **)configured);
	list_build_(addresses);
}

/*
 * Replaces the announced addresses: those of the settings may all have been
 * replaced by the time the present session ends.
 */
void cb_control_addresses_announce(cb_control_addresses_t *addresses,
				   char **announced)
{
	g_strfreev(addresses->announced);
	addresses->announced = announced;
	list_build_(addresses);
}

/* Returns the address of the present or next attempt. */
const char *cb_control_addresses_current(
	const cb_control_addresses_t *addresses)
{
	return addresses->all[addresses->current];
}

/* Records how the attempt at the current address ended. */
void cb_control_addresses_record(cb_control_addresses_t *addresses,
				 cb_address_outcome_t outcome)
{
	attempt_t attempt = { outcome, cb_clock_now_ms(addresses->clock) };

	g_hash_table_replace(addresses->attempts,
			     g_strdup(cb_control_addresses_current(addresses)),
			     g_memdup2(&attempt, sizeof(attempt)));
}

/* Returns the last outcome of an address; CB_ADDRESS_CONFIRMED without one. */
static cb_address_outcome_t outcome_find_(
	const cb_control_addresses_t *addresses, size_t i)
{
	const attempt_t *attempt =
		g_hash_table_lookup(addresses->attempts, addresses->all[i]);

	if (!attempt || cb_clock_now_ms(addresses->clock) - attempt->ended_ms >=
				OUTCOME_VALID_MS)
		return CB_ADDRESS_CONFIRMED;
	return attempt->outcome;
}

/*
 * Selects the first address with this outcome, from `start` on.  Returns FALSE
 * if there is none but the current one.
 */
static gboolean outcome_select_(cb_control_addresses_t *addresses, size_t start,
				cb_address_outcome_t outcome)
{
	size_t k;

	for (k = 0; k < addresses->count; k++) {
		size_t i = (start + k) % addresses->count;

		if (i == addresses->current ||
		    outcome_find_(addresses, i) != outcome)
			continue;
		addresses->current = i;
		return TRUE;
	}
	return FALSE;
}

gboolean cb_control_addresses_advance(cb_control_addresses_t *addresses)
{
	cb_address_outcome_t outcome =
		outcome_find_(addresses, addresses->current);
	size_t next = (addresses->current + 1) % addresses->count;

	/* Instances that are crowded turn away many at the same time. */
	if (outcome == CB_ADDRESS_CROWDED)
		next = (size_t)g_rand_int_range(addresses->random, 0,
						(int)addresses->count);
	if (outcome_select_(addresses, next, CB_ADDRESS_CONFIRMED) ||
	    outcome_select_(addresses, next, CB_ADDRESS_CROWDED) ||
	    outcome == CB_ADDRESS_CROWDED)
		return TRUE;
	if (!outcome_select_(addresses, next, CB_ADDRESS_FAILED) &&
	    outcome != CB_ADDRESS_FAILED)
		addresses->current = next;
	return FALSE;
}
