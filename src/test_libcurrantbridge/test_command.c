#include "support_main.h"

#include <string.h>

#include "currantbridge/command.h"
#include "private/pack.h"

static char *text_generate_(GRand *random)
{
	int length = g_rand_int_range(random, 0, 40);
	char *text;

	if (g_rand_int_range(random, 0, 4) == 0)
		return NULL;
	text = g_strnfill(length, 'x');
	for (; length > 0; length--)
		text[length - 1] = (char)g_rand_int_range(random, 32, 127);
	return text;
}

static uint64_t number_generate_(GRand *random)
{
	uint64_t number =
		(uint64_t)g_rand_int(random) << 32 | g_rand_int(random);

	return number >> g_rand_int_range(random, 0, 64);
}

static cb_command_t *command_generate_(GRand *random)
{
	cb_command_t *command = cb_command_new(
		(cb_command_kind_t)g_rand_int_range(random, 0,
						    CB_COMMAND_KIND_COUNT));
	char *answer = text_generate_(random);

	command->change_id = text_generate_(random);
	command->has_expected_revision = g_rand_boolean(random);
	command->expected_revision = number_generate_(random);
	command->wall_ms = -(int64_t)(number_generate_(random) >> 1);
	command->name = text_generate_(random);
	command->text = text_generate_(random);
	command->stop_kind =
		(cb_stop_kind_t)g_rand_int_range(random, 0, CB_STOP_KIND_COUNT);
	command->address = text_generate_(random);
	command->data_centre = text_generate_(random);
	command->incarnation = number_generate_(random);
	command->instance_state =
		(cb_instance_state_t)g_rand_int_range(random, 0,
						      CB_INSTANCE_STATE_COUNT);
	command->until_wall_ms = (int64_t)(number_generate_(random) >> 1);
	command->key = text_generate_(random);
	command->digest = text_generate_(random);
	command->owner = text_generate_(random);
	command->server = text_generate_(random);
	command->fencing = number_generate_(random);
	command->proves_by_fencing = g_rand_boolean(random);
	command->result =
		(cb_claim_result_t)g_rand_int_range(random, 0,
						    CB_CLAIM_RESULT_COUNT);
	if (answer)
		command->payload = g_bytes_new(answer, strlen(answer));
	g_free(answer);
	return command;
}

static cb_answer_t *answer_generate_(GRand *random)
{
	cb_answer_t *answer = cb_answer_new(
		(cb_answer_kind_t)g_rand_int_range(random, 0,
						   CB_ANSWER_KIND_COUNT));

	answer->revision = number_generate_(random);
	answer->expected_revision = number_generate_(random);
	answer->message = text_generate_(random);
	answer->fencing = number_generate_(random);
	answer->owner = text_generate_(random);
	answer->server = text_generate_(random);
	answer->must_prove = g_rand_boolean(random);
	answer->result =
		(cb_claim_result_t)g_rand_int_range(random, 0,
						    CB_CLAIM_RESULT_COUNT);
	answer->is_replayed = g_rand_boolean(random);
	return answer;
}

static gboolean commands_equal_(const cb_command_t *a, const cb_command_t *b)
{
	return a->kind == b->kind && !g_strcmp0(a->change_id, b->change_id) &&
	       a->has_expected_revision == b->has_expected_revision &&
	       a->expected_revision == b->expected_revision &&
	       a->wall_ms == b->wall_ms && !g_strcmp0(a->name, b->name) &&
	       !g_strcmp0(a->text, b->text) && a->stop_kind == b->stop_kind &&
	       !g_strcmp0(a->address, b->address) &&
	       !g_strcmp0(a->data_centre, b->data_centre) &&
	       a->incarnation == b->incarnation &&
	       a->instance_state == b->instance_state &&
	       a->until_wall_ms == b->until_wall_ms &&
	       !g_strcmp0(a->key, b->key) && !g_strcmp0(a->digest, b->digest) &&
	       !g_strcmp0(a->owner, b->owner) &&
	       !g_strcmp0(a->server, b->server) && a->fencing == b->fencing &&
	       a->proves_by_fencing == b->proves_by_fencing &&
	       a->result == b->result && !a->payload == !b->payload &&
	       (!a->payload || g_bytes_equal(a->payload, b->payload));
}

static gboolean answers_equal_(const cb_answer_t *a, const cb_answer_t *b)
{
	return a->kind == b->kind && a->revision == b->revision &&
	       a->expected_revision == b->expected_revision &&
	       !g_strcmp0(a->message, b->message) && a->fencing == b->fencing &&
	       !g_strcmp0(a->owner, b->owner) &&
	       !g_strcmp0(a->server, b->server) &&
	       a->must_prove == b->must_prove && a->result == b->result &&
	       a->is_replayed == b->is_replayed;
}

/* A field that encoder and decoder treat differently is lost or changed. */
static void round_trips_keep_every_field(void)
{
	GRand *random = g_rand_new_with_seed(1);
	int i;

	for (i = 0; i < 500; i++) {
		cb_command_t *command = command_generate_(random);
		cb_answer_t *answer = answer_generate_(random);
		GBytes *command_bytes = cb_command_encode(command);
		GBytes *answer_bytes = cb_answer_encode(answer);
		cb_command_t *decoded_command =
			cb_command_decode(command_bytes);
		cb_answer_t *decoded_answer = cb_answer_decode(answer_bytes);

		g_assert(decoded_command && decoded_answer);
		CU_ASSERT_TRUE(commands_equal_(command, decoded_command));
		CU_ASSERT_TRUE(answers_equal_(answer, decoded_answer));
		cb_command_delete(decoded_command);
		cb_command_delete(command);
		cb_answer_delete(decoded_answer);
		cb_answer_delete(answer);
		g_bytes_unref(command_bytes);
		g_bytes_unref(answer_bytes);
	}
	g_rand_free(random);
}

/*
 * Decoding a truncated command fails, and one with an altered byte does not
 * crash, nor read past the end.
 */
static void damaged_messages_never_crash(void)
{
	GRand *random = g_rand_new_with_seed(2);
	int i;

	for (i = 0; i < 20000; i++) {
		cb_command_t *command = command_generate_(random);
		GBytes *bytes = cb_command_encode(command);
		gsize size = g_bytes_get_size(bytes);
		gsize position =
			(gsize)g_rand_int_range(random, 0, (gint32)size);
		GBytes *truncated = g_bytes_new_from_bytes(bytes, 0, position);
		uint8_t *altered_data =
			g_memdup2(g_bytes_get_data(bytes, NULL), size);
		cb_command_t *decoded;
		GBytes *altered;

		altered_data[position] = (uint8_t)g_rand_int(random);
		altered = g_bytes_new_take(altered_data, size);
		CU_ASSERT_PTR_NULL(cb_command_decode(truncated));
		CU_ASSERT_PTR_NULL(cb_answer_decode(bytes));
		decoded = cb_command_decode(altered);
		cb_command_delete(decoded);
		cb_answer_delete(cb_answer_decode(altered));
		g_bytes_unref(altered);
		g_bytes_unref(truncated);
		g_bytes_unref(bytes);
		cb_command_delete(command);
	}
	g_rand_free(random);
}

/*
 * A length past the end of the bytes, or deep nesting, is rejected before
 * anything is allocated for it.
 */
static void invalid_lengths_and_nesting_are_rejected(void)
{
	static const struct {
		const char *bytes;
		size_t size;
		gboolean is_valid;
	} cases[] = {
		{ "", 0, FALSE },
		{ "\x00", 1, TRUE },
		{ "\x00\x00", 2, FALSE },
		{ "\x92\x00\xc0", 3, TRUE },
		{ "\x92\x00", 2, FALSE },
		{ "\xdd\xff\xff\xff\xff\x00", 6, FALSE },
		{ "\xdf\xff\xff\xff\xff\x00", 6, FALSE },
		{ "\xdb\xff\xff\xff\xff\x00", 6, FALSE },
		{ "\xc6\x00\x00\x00\x01\x00", 6, TRUE },
		{ "\xc6\x00\x00", 3, FALSE },
		{ "\xdc\x00\x01\x00", 4, TRUE },
		{ "\xde\x00\x01\x00\x00", 5, TRUE },
		{ "\xcf\x00\x00\x00\x00\x00\x00\x00\x01", 9, TRUE },
		{ "\xcf\x00", 2, FALSE },
		{ "\xd9\x01\x61", 3, TRUE },
		{ "\xc1", 1, FALSE },
		{ "\xc7\x01\x00\x00", 4, FALSE },
		{ "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91"
		  "\x91\x91\x00",
		  17, TRUE },
		{ "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91"
		  "\x91\x91\x91\x00",
		  18, FALSE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GBytes *bytes =
			g_bytes_new_static(cases[i].bytes, cases[i].size);
		cb_unpack_t unpack;
		gboolean is_valid = cb_unpack_init(&unpack, bytes);

		CU_ASSERT_EQUAL(is_valid, cases[i].is_valid);
		if (is_valid != cases[i].is_valid)
			printf("    case %zu\n", i);
		if (is_valid)
			cb_unpack_clear(&unpack);
		g_bytes_unref(bytes);
	}
}

static CU_TestInfo command_tests[] = {
	{ "round_trips_keep_every_field", round_trips_keep_every_field },
	{ "damaged_messages_never_crash", damaged_messages_never_crash },
	{ "invalid_lengths_and_nesting_are_rejected",
	  invalid_lengths_and_nesting_are_rejected },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "command",
				    .pTests = command_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
