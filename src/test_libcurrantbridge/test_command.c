#include "support_main.h"

#include <string.h>

#include "currantbridge/command.h"
#include "private/pack.h"

static char *random_text_(GRand *random)
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

static uint64_t random_number_(GRand *random)
{
	uint64_t number =
		(uint64_t)g_rand_int(random) << 32 | g_rand_int(random);

	return number >> g_rand_int_range(random, 0, 64);
}

static cb_command_t *random_command_(GRand *random)
{
	cb_command_t *command = cb_command_new(
		(cb_command_kind_t)g_rand_int_range(random, 0,
						    CB_COMMAND_KIND_COUNT));
	char *answer = random_text_(random);

	command->change_id = random_text_(random);
	command->has_expected_revision = g_rand_boolean(random);
	command->expected_revision = random_number_(random);
	command->wall_ms = -(int64_t)(random_number_(random) >> 1);
	command->name = random_text_(random);
	command->text = random_text_(random);
	command->stop_kind =
		(cb_stop_kind_t)g_rand_int_range(random, 0, CB_STOP_KIND_COUNT);
	command->address = random_text_(random);
	command->data_centre = random_text_(random);
	command->incarnation = random_number_(random);
	command->instance_state =
		(cb_instance_state_t)g_rand_int_range(random, 0,
						      CB_INSTANCE_STATE_COUNT);
	command->until_wall_ms = (int64_t)(random_number_(random) >> 1);
	command->key = random_text_(random);
	command->digest = random_text_(random);
	command->owner = random_text_(random);
	command->server = random_text_(random);
	command->fencing = random_number_(random);
	command->proves_by_fencing = g_rand_boolean(random);
	command->result =
		(cb_claim_result_t)g_rand_int_range(random, 0,
						    CB_CLAIM_RESULT_COUNT);
	if (answer)
		command->answer = g_bytes_new(answer, strlen(answer));
	g_free(answer);
	return command;
}

static cb_answer_t *random_answer_(GRand *random)
{
	cb_answer_t *answer = cb_answer_new(
		(cb_answer_kind_t)g_rand_int_range(random, 0,
						   CB_ANSWER_KIND_COUNT));

	answer->revision = random_number_(random);
	answer->expected_revision = random_number_(random);
	answer->message = random_text_(random);
	answer->fencing = random_number_(random);
	answer->owner = random_text_(random);
	answer->server = random_text_(random);
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
	       a->result == b->result && !a->answer == !b->answer &&
	       (!a->answer || g_bytes_equal(a->answer, b->answer));
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

/* Every field comes back as it was. */
static void round_trips_keep_every_field(void)
{
	GRand *random = g_rand_new_with_seed(1);
	int i;

	for (i = 0; i < 500; i++) {
		cb_command_t *command = random_command_(random);
		cb_answer_t *answer = random_answer_(random);
		GBytes *command_bytes = cb_command_encode(command);
		GBytes *answer_bytes = cb_answer_encode(answer);
		cb_command_t *command_back = cb_command_decode(command_bytes);
		cb_answer_t *answer_back = cb_answer_decode(answer_bytes);

		g_assert(command_back && answer_back);
		CU_ASSERT_TRUE(commands_equal_(command, command_back));
		CU_ASSERT_TRUE(answers_equal_(answer, answer_back));
		cb_command_delete(command_back);
		cb_command_delete(command);
		cb_answer_delete(answer_back);
		cb_answer_delete(answer);
		g_bytes_unref(command_bytes);
		g_bytes_unref(answer_bytes);
	}
	g_rand_free(random);
}

/* Cut off, a message is refused; with other bytes it never crashes. */
static void damaged_messages_never_crash(void)
{
	GRand *random = g_rand_new_with_seed(2);
	int i;

	for (i = 0; i < 20000; i++) {
		cb_command_t *command = random_command_(random);
		GBytes *bytes = cb_command_encode(command);
		gsize size = g_bytes_get_size(bytes);
		gsize cut = (gsize)g_rand_int_range(random, 0, (gint32)size);
		GBytes *part = g_bytes_new_from_bytes(bytes, 0, cut);
		uint8_t *flipped =
			g_memdup2(g_bytes_get_data(bytes, NULL), size);
		cb_command_t *back;
		GBytes *other;

		flipped[cut] = (uint8_t)g_rand_int(random);
		other = g_bytes_new_take(flipped, size);
		CU_ASSERT_PTR_NULL(cb_command_decode(part));
		CU_ASSERT_PTR_NULL(cb_answer_decode(bytes));
		back = cb_command_decode(other);
		cb_command_delete(back);
		cb_answer_delete(cb_answer_decode(other));
		g_bytes_unref(other);
		g_bytes_unref(part);
		g_bytes_unref(bytes);
		cb_command_delete(command);
	}
	g_rand_free(random);
}

/* Lengths past the end and deep nesting are refused before allocation. */
static void unsound_lengths_are_refused(void)
{
	static const struct {
		const char *bytes;
		size_t size;
		gboolean is_sound;
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
		gboolean is_sound = cb_unpack_init(&unpack, bytes);

		CU_ASSERT_EQUAL(is_sound, cases[i].is_sound);
		if (is_sound != cases[i].is_sound)
			printf("    case %zu\n", i);
		if (is_sound)
			cb_unpack_clear(&unpack);
		g_bytes_unref(bytes);
	}
}

static CU_TestInfo command_tests[] = {
	{ "round_trips_keep_every_field", round_trips_keep_every_field },
	{ "damaged_messages_never_crash", damaged_messages_never_crash },
	{ "unsound_lengths_are_refused", unsound_lengths_are_refused },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "command",
				    .pTests = command_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
