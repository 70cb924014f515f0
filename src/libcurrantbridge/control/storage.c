#include "currantbridge/storage.h"

G_DEFINE_QUARK(cb - storage - error - quark, cb_storage_error)

/* Deletes a storage of any kind; NULL is allowed. */
void cb_storage_delete(cb_storage_t *storage)
{
	if (storage)
		storage->vtable->destroy(storage);
}

/* Frees the data that the `load` call of a storage filled in. */
void cb_storage_content_clear(cb_storage_content_t *content)
{
	g_clear_pointer(&content->vote.voted_for, g_free);
	g_clear_pointer(&content->vote.disk_id, g_free);
	g_clear_pointer(&content->snapshot.members, g_bytes_unref);
	g_clear_pointer(&content->snapshot.data, g_bytes_unref);
	g_clear_pointer(&content->records, g_ptr_array_unref);
}
