/* RPC methods of the scheduler. */
#include "scheduler/scheduler-private.h"

#include <string.h>

#define NO_OWNER_RETRY_MS 1000

static void
fail (struct gr_rpc_call *call,
      enum gr_error_kind kind,
      int64_t retry_after_ms,
      const char *message)
{
  struct gr_error error = GR_ERROR_INIT;

  gr_error_set_retry (&error, kind, retry_after_ms, "%s", message);
  gr_rpc_fail (call, &error);
}

static struct gr_shard_slot *
slot_by_name (struct gr_scheduler *scheduler, const char *name)
{
  return name != NULL ? g_hash_table_lookup (scheduler->slots, name) : NULL;
}

/* Uses the field "shard", or else the first part of "job", which is
 * SHARD.ACCOUNT.KEY. */
static struct gr_shard_slot *
slot_for_request (struct gr_scheduler *scheduler, const msgpack_object *body)
{
  char *shard = gr_unpack_string (body, "shard");
  char *job = gr_unpack_string (body, "job");
  struct gr_shard_slot *slot = slot_by_name (scheduler, shard);
  char *dot = job != NULL ? strchr (job, '.') : NULL;

  if (shard == NULL && dot != NULL)
    {
      *dot = '\0';
      slot = slot_by_name (scheduler, job);
    }
  g_free (shard);
  g_free (job);
  return slot;
}

/* Returns the shard that the call is for if this process owns it. Otherwise
 * answers the call with an error and returns NULL. */
static struct gr_shard *
owned_shard (struct gr_scheduler *scheduler,
             struct gr_rpc_call *call,
             const msgpack_object *body)
{
  struct gr_shard_slot *slot = slot_for_request (scheduler, body);

  if (slot != NULL && slot->shard != NULL)
    return slot->shard;
  fail (call, GR_ERROR_NO_OWNER, NO_OWNER_RETRY_MS,
        "this scheduler does not own the shard");
  return NULL;
}

static void
job_submit (struct gr_scheduler *scheduler,
            struct gr_rpc_call *call,
            const msgpack_object *body)
{
  struct gr_shard *shard = owned_shard (scheduler, call, body);

  if (shard != NULL)
    gr_shard_submit (shard, call, body);
}

static void
job_cancel (struct gr_scheduler *scheduler,
            struct gr_rpc_call *call,
            const msgpack_object *body)
{
  struct gr_shard *shard = owned_shard (scheduler, call, body);

  if (shard != NULL)
    gr_shard_cancel (shard, call, body);
}

static void
job_show (struct gr_scheduler *scheduler,
          struct gr_rpc_call *call,
          const msgpack_object *body)
{
  struct gr_shard *shard = owned_shard (scheduler, call, body);

  if (shard != NULL)
    gr_shard_show (shard, call, body);
}

static void
job_list (struct gr_scheduler *scheduler,
          struct gr_rpc_call *call,
          const msgpack_object *body)
{
  struct gr_shard *shard = owned_shard (scheduler, call, body);

  if (shard != NULL)
    gr_shard_list (shard, call, body);
}

static void
shard_status (struct gr_scheduler *scheduler,
              struct gr_rpc_call *call,
              const msgpack_object *body)
{
  struct gr_shard *shard = owned_shard (scheduler, call, body);

  if (shard != NULL)
    gr_shard_status (shard, call);
}

static void
shard_drain (struct gr_scheduler *scheduler,
             struct gr_rpc_call *call,
             const msgpack_object *body)
{
  struct gr_shard_slot *slot = slot_for_request (scheduler, body);

  if (slot == NULL || slot->shard == NULL)
    fail (call, GR_ERROR_NO_OWNER, NO_OWNER_RETRY_MS,
          "this scheduler does not own the shard");
  else
    gr_shard_slot_drain (slot, call);
}

static bool
push_is_valid (const char *path, const char *document)
{
  enum gr_document_kind kind;
  struct gr_error error = GR_ERROR_INIT;
  GPtrArray *problems;
  bool valid;

  if (path == NULL || document == NULL
      || !gr_document_kind_of_path (path, &kind, &error))
    return false;
  problems = g_ptr_array_new_with_free_func (g_free);
  valid = gr_document_check (kind, document, problems);
  g_ptr_array_unref (problems);
  return valid;
}

static void
settings_push (struct gr_scheduler *scheduler,
               struct gr_rpc_call *call,
               const msgpack_object *body)
{
  char *path = gr_unpack_string (body, "path");
  char *document = gr_unpack_string (body, "document");
  int64_t revision = gr_unpack_int (body, "revision", 0);

  if (revision <= 0 || !push_is_valid (path, document))
    fail (call, GR_ERROR_BAD_SETTINGS, 0, "the pushed document is not valid");
  else
    {
      struct gr_packer *answer = gr_packer_create ();
      int64_t current = 0;

      gr_settings_store_apply (scheduler->settings, path, document, revision);
      gr_settings_store_get (scheduler->settings, path, &current);
      gr_pack_int (answer, "revision", current);
      gr_rpc_reply (call, answer);
      gr_packer_destroy (answer);
    }
  g_free (path);
  g_free (document);
}

static void
peer_heartbeat (struct gr_scheduler *scheduler,
                struct gr_rpc_call *call,
                const msgpack_object *body)
{
  gr_peers_handle_heartbeat (scheduler->peers, call, body);
}

static const struct
{
  const char *name;
  void (*handle) (struct gr_scheduler *scheduler,
                  struct gr_rpc_call *call,
                  const msgpack_object *body);
} methods[] = {
  { "job.submit", job_submit },       { "job.show", job_show },
  { "job.cancel", job_cancel },       { "job.list", job_list },
  { "shard.status", shard_status },   { "shard.drain", shard_drain },
  { "settings.push", settings_push }, { "peer.heartbeat", peer_heartbeat },
};

void
gr_scheduler_handle (struct gr_rpc_call *call,
                     const char *method,
                     const msgpack_object *body,
                     void *context)
{
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (methods[i].name, method) == 0)
      {
        methods[i].handle (context, call, body);
        return;
      }
  fail (call, GR_ERROR_BAD_REQUEST, 0, "no such method");
}
