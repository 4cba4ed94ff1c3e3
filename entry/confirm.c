#include "entry/confirm.h"

#include "common/hash.h"

#include <string.h>

#define FETCH_TIMEOUT_MS 1000

struct gr_confirm
{
  struct gr_entry *entry;
  GHashTable *revisions; /* path to int64_t *; includes deleted ones */
  uint64_t digest;
  uint32_t fetching; /* fetch calls in flight */
};

/* One call of "settings.revisions" to a member. */
struct fetch
{
  struct gr_confirm *confirm;
  char address[GR_NAME_MAX];
};

struct gr_confirm *
gr_confirm_create (struct gr_entry *entry)
{
  struct gr_confirm *confirm = g_new0 (struct gr_confirm, 1);

  confirm->entry = entry;
  confirm->revisions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return confirm;
}

void
gr_confirm_destroy (struct gr_confirm *confirm)
{
  if (confirm == NULL)
    return;
  g_hash_table_destroy (confirm->revisions);
  g_free (confirm);
}

static uint64_t
document_digest (const char *path, int64_t revision)
{
  char text[256];

  g_snprintf (text, sizeof text, "%s@%" G_GINT64_FORMAT, path,
              (gint64)revision);
  return gr_hash_string (text);
}

void
gr_confirm_document_changed (struct gr_confirm *confirm,
                             const char *path,
                             int64_t revision)
{
  int64_t *known = g_hash_table_lookup (confirm->revisions, path);

  if (known != NULL)
    confirm->digest ^= document_digest (path, *known);
  else
    {
      known = g_new (int64_t, 1);
      g_hash_table_insert (confirm->revisions, g_strdup (path), known);
    }
  *known = revision;
  confirm->digest ^= document_digest (path, revision);
}

uint64_t
gr_confirm_digest (const struct gr_confirm *confirm)
{
  return confirm->digest;
}

bool
gr_confirm_has_platform (const struct gr_confirm *confirm)
{
  int64_t revision;
  const char *text =
      gr_settings_store_get (confirm->entry->store, "platform", &revision);

  return text != NULL && text[0] != '\0';
}

static bool
is_missing (const struct gr_confirm *confirm,
            const char *path,
            int64_t revision)
{
  const int64_t *known = g_hash_table_lookup (confirm->revisions, path);

  return known == NULL || *known < revision;
}

static void
apply_document (struct gr_confirm *confirm, const msgpack_object *body)
{
  char *path = gr_unpack_string (body, "path");
  char *text = gr_unpack_string (body, "document");
  int64_t revision = gr_unpack_int (body, "revision", 0);

  if (path != NULL && text != NULL && revision > 0)
    gr_settings_store_apply (confirm->entry->store, path, text, revision);
  g_free (path);
  g_free (text);
}

static void
fetch_done (const msgpack_object *body,
            const struct gr_error *error,
            void *context)
{
  struct gr_confirm *confirm = context;

  if (confirm->entry->destroying)
    return;
  confirm->fetching--;
  if (error == NULL)
    apply_document (confirm, body);
}

static void
revisions_done (const msgpack_object *body,
                const struct gr_error *error,
                void *context)
{
  struct fetch *fetch = context;
  struct gr_confirm *confirm = fetch->confirm;
  const msgpack_object *documents = NULL;
  size_t count = 0;

  if (!confirm->entry->destroying)
    confirm->fetching--;
  if (error == NULL && !confirm->entry->destroying)
    documents = gr_unpack_array (body, "documents", &count);
  for (size_t i = 0; i < count; i++)
    {
      char *path = gr_unpack_string (&documents[i], "path");
      struct gr_packer *call;

      if (path == NULL
          || !is_missing (confirm, path,
                          gr_unpack_int (&documents[i], "revision", 0)))
        {
          g_free (path);
          continue;
        }
      call = gr_packer_create ();
      gr_pack_string (call, "path", path);
      confirm->fetching++;
      gr_rpc_call (gr_peers_client (confirm->entry->peers, fetch->address),
                   "settings.fetch", call, FETCH_TIMEOUT_MS, fetch_done,
                   confirm);
      gr_packer_destroy (call);
      g_free (path);
    }
  g_free (fetch);
}

/* The member's digest differs: requests its revisions, then the documents
 * that are missing here. Does nothing while earlier fetch calls are in
 * flight. */
static void
fetch_from (struct gr_confirm *confirm, const struct gr_member *member)
{
  struct fetch *fetch;

  if (confirm->fetching > 0)
    return;
  fetch = g_new0 (struct fetch, 1);
  fetch->confirm = confirm;
  g_strlcpy (fetch->address, member->address, sizeof fetch->address);
  confirm->fetching++;
  gr_rpc_call (gr_peers_client (confirm->entry->peers, member->address),
               "settings.revisions", NULL, FETCH_TIMEOUT_MS, revisions_done,
               fetch);
}

void
gr_confirm_after_heartbeats (struct gr_confirm *confirm, int64_t sent_ms)
{
  struct gr_entry *entry = confirm->entry;
  GArray *members = gr_members_list (entry->members);
  const struct gr_member *differing_member = NULL;
  uint32_t agreeing = 0;
  gint32 differing = 0;

  for (guint i = 0; i < members->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (members, struct gr_member, i);

      /* A member that has never read the store may be missing any document.
       * A stale or leaving member still has every document that it has
       * acknowledged. */
      if (member->role != GR_ROLE_ENTRY || member->state == GR_MEMBER_UNKNOWN
          || member->answered_ms < sent_ms)
        continue;
      if (member->settings_digest == confirm->digest
          || strcmp (member->name, entry->process->instance) == 0)
        agreeing++;
      else if (g_rand_int_range (entry->random, 0, ++differing) == 0)
        differing_member = member; /* uniform random choice */
    }
  if (gr_confirm_has_platform (confirm)
      && agreeing >= gr_majority (entry->platform.entry_instances))
    gr_settings_store_confirm (entry->store, sent_ms);
  if (differing_member != NULL)
    fetch_from (confirm, differing_member);
  g_array_unref (members);
}

static void
handle_push (struct gr_confirm *confirm,
             struct gr_rpc_call *call,
             const msgpack_object *body)
{
  char *path = gr_unpack_string (body, "path");
  struct gr_packer *reply = gr_packer_create ();
  int64_t revision = 0;

  apply_document (confirm, body);
  if (path != NULL)
    gr_settings_store_get (confirm->entry->store, path, &revision);
  gr_pack_int (reply, "revision", revision);
  gr_rpc_reply (call, reply);
  gr_packer_destroy (reply);
  g_free (path);
}

static void
handle_revisions (struct gr_confirm *confirm, struct gr_rpc_call *call)
{
  struct gr_packer *reply = gr_packer_create ();
  GHashTableIter iter;
  void *path;
  void *revision;

  gr_pack_array_begin (reply, "documents");
  g_hash_table_iter_init (&iter, confirm->revisions);
  while (g_hash_table_iter_next (&iter, &path, &revision))
    {
      struct gr_packer *element = gr_packer_create ();

      gr_pack_string (element, "path", path);
      gr_pack_int (element, "revision", *(int64_t *)revision);
      gr_pack_array_add (reply, element);
    }
  gr_pack_array_end (reply);
  gr_rpc_reply (call, reply);
  gr_packer_destroy (reply);
}

static void
handle_fetch (struct gr_confirm *confirm,
              struct gr_rpc_call *call,
              const msgpack_object *body)
{
  char *path = gr_unpack_string (body, "path");
  struct gr_error error = GR_ERROR_INIT;
  const char *text = NULL;
  int64_t revision = 0;
  struct gr_packer *reply;

  if (path != NULL)
    text = gr_settings_store_get (confirm->entry->store, path, &revision);
  if (text == NULL)
    {
      gr_error_set (&error, GR_ERROR_NOT_FOUND,
                    "document \"%s\" does not exist", path != NULL ? path : "");
      gr_rpc_fail (call, &error);
    }
  else
    {
      reply = gr_packer_create ();
      gr_pack_string (reply, "path", path);
      gr_pack_int (reply, "revision", revision);
      gr_pack_string (reply, "document", text);
      gr_rpc_reply (call, reply);
      gr_packer_destroy (reply);
    }
  g_free (path);
}

bool
gr_confirm_handle (struct gr_confirm *confirm,
                   struct gr_rpc_call *call,
                   const char *method,
                   const msgpack_object *body)
{
  if (strcmp (method, "settings.push") == 0)
    handle_push (confirm, call, body);
  else if (strcmp (method, "settings.revisions") == 0)
    handle_revisions (confirm, call);
  else if (strcmp (method, "settings.fetch") == 0)
    handle_fetch (confirm, call, body);
  else
    return false;
  return true;
}
