#include "currantbridge/contract.h"

#include <string.h>

#include "currantbridge/settings.h"

G_DEFINE_QUARK(cb - contract - error - quark, cb_contract_error)

#define SETTINGS_PREFIX "settings: "
#define SERVICES_FIELD "services"

/* Marks an absent ceiling, which is then set to the guaranteed rate. */
#define CEILING_ABSENT (-1)
#define CEILING_ABSENT_TEXT "-1"

/* Every field but "services", an array of objects that is parsed separately. */
static const cb_setting_t contract_fields[] = {
	{ "workspace", CB_SETTING_STRING, offsetof(cb_contract_t, workspace),
	  TRUE, 0, 0, NULL, NULL },
	{ "keys", CB_SETTING_STRINGS, offsetof(cb_contract_t, keys), TRUE, 0, 0,
	  NULL, NULL },
	{ "models", CB_SETTING_STRINGS, offsetof(cb_contract_t, models), FALSE,
	  0, 0, "", NULL },
	{ "guaranteed_tokens_per_s", CB_SETTING_INTEGER,
	  offsetof(cb_contract_t, guaranteed_tokens_per_s), FALSE, 0,
	  CB_CONTRACT_MAX_RATE_PER_S, "0", NULL },
	{ "ceiling_tokens_per_s", CB_SETTING_INTEGER,
	  offsetof(cb_contract_t, ceiling_tokens_per_s), FALSE, 0,
	  CB_CONTRACT_MAX_RATE_PER_S, CEILING_ABSENT_TEXT, NULL },
	{ "guaranteed_requests_per_s", CB_SETTING_INTEGER,
	  offsetof(cb_contract_t, guaranteed_requests_per_s), FALSE, 0,
	  CB_CONTRACT_MAX_RATE_PER_S, "0", NULL },
	{ "ceiling_requests_per_s", CB_SETTING_INTEGER,
	  offsetof(cb_contract_t, ceiling_requests_per_s), FALSE, 0,
	  CB_CONTRACT_MAX_RATE_PER_S, CEILING_ABSENT_TEXT, NULL },
	{ "concurrent_requests", CB_SETTING_INTEGER,
	  offsetof(cb_contract_t, concurrent_requests), FALSE, 1, 1000000, "64",
	  NULL },
	{ "priority", CB_SETTING_INTEGER, offsetof(cb_contract_t, priority),
	  FALSE, 0, 9, "5", NULL },
	{ "deadline_ms", CB_SETTING_INTEGER,
	  offsetof(cb_contract_t, deadline_ms), FALSE, 1, 3600000, "60000",
	  NULL },
};

/* Sets the error `contract: FIELD: REASON` and returns FALSE. */
static gboolean field_error_set_(GError **error, const char *field,
				 const char *reason)
{
	g_set_error(error, CB_CONTRACT_ERROR, CB_CONTRACT_ERROR_FIELD,
		    "contract: %s: %s", field, reason);
	return FALSE;
}

/* Whether `text` is one or more letters, digits, '.', '_' and '-'. */
static gboolean text_is_name_(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			return FALSE;
	return c > text;
}

/* Whether `text` is one or more ASCII characters without spaces. */
static gboolean text_is_visible_ascii_(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isgraph(*c))
			return FALSE;
	return c > text;
}

static gboolean node_is_string_(JsonNode *node)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_STRING;
}

/* Checks the length of a list and that it has no duplicates. */
static gboolean string_list_check_(char **list, unsigned int max_count,
				   const char *field, GError **error)
{
	GHashTable *seen;
	gboolean is_unique = TRUE;
	char **item;
	char *reason;

	if (g_strv_length(list) > max_count) {
		reason = g_strdup_printf("must have at most %u entries",
					 max_count);
		field_error_set_(error, field, reason);
		g_free(reason);
		return FALSE;
	}
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (item = list; *item && is_unique; item++)
		is_unique = g_hash_table_add(seen, *item);
	g_hash_table_unref(seen);
	return is_unique || field_error_set_(error, field,
					     "must not have duplicate entries");
}

static gboolean keys_check_(char **keys, GError **error)
{
	char **key;

	for (key = keys; *key; key++) {
		if (strlen(*key) > CB_CONTRACT_KEY_MAX_CHARS)
			return field_error_set_(error, "keys",
						"a key is too long");
		if (!text_is_visible_ascii_(*key))
			return field_error_set_(
				error, "keys",
				"must be visible ASCII characters");
	}
	return string_list_check_(keys, CB_CONTRACT_MAX_KEYS, "keys", error);
}

/* Parses one element of "services". */
static gboolean service_parse_(JsonNode *node, cb_contract_service_t *service,
			       GError **error)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *value;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return field_error_set_(error, SERVICES_FIELD,
					"must be an array of objects");
	json_object_iter_init(&iter, json_node_get_object(node));
	while (json_object_iter_next(&iter, &name, &value)) {
		if (!strcmp(name, "name")) {
			if (!node_is_string_(value) ||
			    !text_is_name_(json_node_get_string(value)))
				return field_error_set_(
					error, "services.name",
					"must be letters, digits, "
					"'.', '_' or '-'");
			service->name = json_node_dup_string(value);
		} else if (!strcmp(name, "idempotent")) {
			if (!JSON_NODE_HOLDS_VALUE(value) ||
			    json_node_get_value_type(value) != G_TYPE_BOOLEAN)
				return field_error_set_(
					error, "services.idempotent",
					"must be true or false");
			service->is_idempotent = json_node_get_boolean(value);
		} else {
			char *field = g_strdup_printf("services.%s", name);

			field_error_set_(error, field, "unknown field");
			g_free(field);
			return FALSE;
		}
	}
	return service->name ||
	       field_error_set_(error, "services.name", "is required");
}

/* Parses "services"; a service is non-idempotent by default. */
static gboolean services_parse_(JsonNode *node, cb_contract_t *contract,
				GError **error)
{
	JsonArray *array;
	size_t i, j;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return field_error_set_(error, SERVICES_FIELD,
					"must be an array of objects");
	array = json_node_get_array(node);
	if (json_array_get_length(array) > CB_CONTRACT_MAX_SERVICES)
		return field_error_set_(error, SERVICES_FIELD,
					"must have at most 64 entries");
	contract->service_count = json_array_get_length(array);
	contract->services =
		g_new0(cb_contract_service_t, contract->service_count);
	for (i = 0; i < contract->service_count; i++) {
		cb_contract_service_t *services = contract->services;

		if (!service_parse_(json_array_get_element(array, i),
				    &services[i], error))
			return FALSE;
		for (j = 0; j < i; j++)
			if (!strcmp(services[i].name, services[j].name))
				return field_error_set_(
					error, SERVICES_FIELD,
					"must not have duplicate entries");
	}
	return TRUE;
}

/*
 * Parses all fields but "services".  Replaces the prefix of error messages
 * from the settings parser by "contract: ".
 */
static gboolean fields_parse_(JsonObject *object, cb_contract_t *contract,
			      GError **error)
{
	GError *settings_error = NULL;
	const char *message;

	if (cb_settings_read_object(object, contract_fields,
				    G_N_ELEMENTS(contract_fields), contract,
				    &settings_error))
		return TRUE;
	message = settings_error->message;
	if (g_str_has_prefix(message, SETTINGS_PREFIX))
		message += strlen(SETTINGS_PREFIX);
	g_set_error(error, CB_CONTRACT_ERROR, CB_CONTRACT_ERROR_FIELD,
		    "contract: %s", message);
	g_error_free(settings_error);
	return FALSE;
}

/*
 * Checks one kind of rate.  Sets an absent ceiling to the guaranteed rate, and
 * rejects a ceiling of 0 if the contract allows anything that needs the rate.
 */
static gboolean rate_check_(int64_t guaranteed, int64_t *ceiling,
			    const char *unit, gboolean is_required,
			    GError **error)
{
	const char *reason = NULL;
	char *field;

	if (*ceiling == CEILING_ABSENT)
		*ceiling = guaranteed;
	if (guaranteed > *ceiling) {
		field = g_strdup_printf("guaranteed_%s_per_s", unit);
		reason = "must not be above the ceiling";
	} else if (is_required && *ceiling == 0) {
		field = g_strdup_printf("ceiling_%s_per_s", unit);
		reason = "must be 1 or more for what the contract names";
	} else {
		return TRUE;
	}
	field_error_set_(error, field, reason);
	g_free(field);
	return FALSE;
}

/* Checks what the table of fields can't express, and sets absent ceilings. */
static gboolean contract_check_(cb_contract_t *contract, GError **error)
{
	gboolean has_models = contract->models[0] != NULL;

	if (strlen(contract->workspace) > CB_CONTRACT_WORKSPACE_MAX_CHARS)
		return field_error_set_(error, "workspace",
					"must have at most 64 characters");
	if (!text_is_name_(contract->workspace))
		return field_error_set_(
			error, "workspace",
			"must be letters, digits, '.', '_' or '-'");
	if (!keys_check_(contract->keys, error))
		return FALSE;
	if (!string_list_check_(contract->models, CB_CONTRACT_MAX_MODELS,
				"models", error))
		return FALSE;
	if (!rate_check_(contract->guaranteed_tokens_per_s,
			 &contract->ceiling_tokens_per_s, "tokens", has_models,
			 error))
		return FALSE;
	return rate_check_(contract->guaranteed_requests_per_s,
			   &contract->ceiling_requests_per_s, "requests",
			   has_models || contract->service_count > 0, error);
}

static void builder_add_strings_(JsonBuilder *builder, const char *name,
				 char **strings)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
	for (; *strings; strings++)
		json_builder_add_string_value(builder, *strings);
	json_builder_end_array(builder);
}

static void builder_add_services_(JsonBuilder *builder,
				  const cb_contract_t *contract)
{
	size_t i;

	json_builder_set_member_name(builder, SERVICES_FIELD);
	json_builder_begin_array(builder);
	for (i = 0; i < contract->service_count; i++) {
		const cb_contract_service_t *service = &contract->services[i];

		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "name");
		json_builder_add_string_value(builder, service->name);
		json_builder_set_member_name(builder, "idempotent");
		json_builder_add_boolean_value(builder, service->is_idempotent);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

/* Returns the canonical text: all fields with defaults, in a fixed order. */
static char *contract_format_text_(const cb_contract_t *contract)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *node;
	char *text;
	size_t i;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "workspace");
	json_builder_add_string_value(builder, contract->workspace);
	builder_add_strings_(builder, "keys", contract->keys);
	builder_add_strings_(builder, "models", contract->models);
	builder_add_services_(builder, contract);
	for (i = 0; i < G_N_ELEMENTS(contract_fields); i++) {
		const cb_setting_t *field = &contract_fields[i];

		if (field->type != CB_SETTING_INTEGER)
			continue;
		json_builder_set_member_name(builder, field->name);
		json_builder_add_int_value(
			builder, *(const int64_t *)((const char *)contract +
						    field->offset));
	}
	json_builder_end_object(builder);
	node = json_builder_get_root(builder);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	g_object_unref(builder);
	return text;
}

/* Parses the text as one JSON object, which the caller may modify. */
static JsonNode *root_parse_(const char *text, GError **error)
{
	GError *parse_error = NULL;
	JsonNode *root;

	if (strlen(text) > CB_CONTRACT_MAX_TEXT_BYTES) {
		g_set_error(error, CB_CONTRACT_ERROR, CB_CONTRACT_ERROR_SYNTAX,
			    "contract: must be at most 65536 bytes");
		return NULL;
	}
	root = json_from_string(text, &parse_error);
	if (parse_error) {
		g_set_error(error, CB_CONTRACT_ERROR, CB_CONTRACT_ERROR_SYNTAX,
			    "contract: not valid JSON: %s",
			    parse_error->message);
		g_error_free(parse_error);
		return NULL;
	}
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(error, CB_CONTRACT_ERROR, CB_CONTRACT_ERROR_SYNTAX,
			    "contract: must be one JSON object");
		g_clear_pointer(&root, json_node_unref);
	}
	return root;
}

/* Parses and checks a contract; does not set its canonical text. */
static cb_contract_t *contract_parse_(const char *text, GError **error)
{
	cb_contract_t *contract = NULL;
	JsonNode *services = NULL;
	JsonObject *object;
	JsonNode *root;

	root = root_parse_(text, error);
	if (!root)
		return NULL;
	contract = g_new0(cb_contract_t, 1);
	object = json_node_get_object(root);
	services = json_object_dup_member(object, SERVICES_FIELD);
	json_object_remove_member(object, SERVICES_FIELD);
	if (!fields_parse_(object, contract, error) ||
	    (services && !services_parse_(services, contract, error)) ||
	    !contract_check_(contract, error))
		g_clear_pointer(&contract, cb_contract_delete);
	g_clear_pointer(&services, json_node_unref);
	json_node_unref(root);
	return contract;
}

/*
 * Parses and checks a contract.  Absent fields get their defaults, which the
 * result's `text` contains too.  Returns NULL and sets the error
 * `contract: FIELD: REASON` if the contract is invalid.
 */
cb_contract_t *cb_contract_parse(const char *text, GError **error)
{
	cb_contract_t *contract = contract_parse_(text, error);

	if (contract)
		contract->text = contract_format_text_(contract);
	return contract;
}

/*
 * Like cb_contract_parse(), but copies the text, which is canonical already,
 * instead of formatting it again: a configuration has thousands of contracts.
 */
cb_contract_t *cb_contract_parse_canonical(const char *text)
{
	cb_contract_t *contract = contract_parse_(text, NULL);

	if (contract)
		contract->text = g_strdup(text);
	return contract;
}

/* Frees a contract; NULL is allowed. */
void cb_contract_delete(cb_contract_t *contract)
{
	size_t i;

	if (!contract)
		return;
	cb_settings_clear(contract_fields, G_N_ELEMENTS(contract_fields),
			  contract);
	for (i = 0; i < contract->service_count; i++)
		g_free(contract->services[i].name);
	g_free(contract->services);
	g_free(contract->text);
	g_free(contract);
}

/* Whether callers of the workspace may use `model`. */
gboolean cb_contract_has_model(const cb_contract_t *contract, const char *model)
{
	return g_strv_contains((const char *const *)contract->models, model);
}

/* Returns the named service of the contract, or NULL. */
const cb_contract_service_t *cb_contract_find_service(
	const cb_contract_t *contract, const char *name)
{
	size_t i;

	for (i = 0; i < contract->service_count; i++)
		if (!strcmp(contract->services[i].name, name))
			return &contract->services[i];
	return NULL;
}
