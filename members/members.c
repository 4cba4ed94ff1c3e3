#include "members/members.h"

#include <string.h>

struct member_record
{
  struct gr_member member;
  enum gr_member_state
      reported_state; /* GR_MEMBER_UNKNOWN until the first contact */
  bool listed;
  bool listed_leaving;
  int64_t listed_ms; /* last time it was on the list */
};

struct target_record
{
  struct gr_target target;
  bool listed_leaving;
  int64_t listed_ms;
  int64_t notices_valid_from_ms; /* older notices concern a previous process of
                                    the same name */
};

struct gr_members
{
  GHashTable *members; /* "ROLE/NAME" to struct member_record: an entry and a
                          scheduler of one instance may have the same name */
  GHashTable *targets; /* name to struct target_record */
  GHashTable *notices; /* target name to int64_t *seen_ms */
};

static const char *const state_names[] = {
  [GR_MEMBER_UNKNOWN] = "unknown",
  [GR_MEMBER_READY] = "ready",
  [GR_MEMBER_STALE] = "stale",
  [GR_MEMBER_LEAVING] = "leaving",
};

const char *
gr_member_state_name (enum gr_member_state state)
{
  return state_names[state];
}

struct gr_members *
gr_members_create (void)
{
  struct gr_members *members = g_new0 (struct gr_members, 1);

  members->members =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  members->targets =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  members->notices =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return members;
}

void
gr_members_destroy (struct gr_members *members)
{
  if (members == NULL)
    return;
  g_hash_table_destroy (members->members);
  g_hash_table_destroy (members->targets);
  g_hash_table_destroy (members->notices);
  g_free (members);
}

static struct member_record *
get_or_add_member (struct gr_members *members,
                   enum gr_instance_role role,
                   const char *name)
{
  char *key = g_strdup_printf ("%d/%s", (int)role, name);
  struct member_record *record = g_hash_table_lookup (members->members, key);

  if (record != NULL)
    {
      g_free (key);
      return record;
    }
  record = g_new0 (struct member_record, 1);
  record->member.role = role;
  g_strlcpy (record->member.name, name, sizeof record->member.name);
  g_hash_table_insert (members->members, key, record);
  return record;
}

static struct target_record *
get_or_add_target (struct gr_members *members, const char *name)
{
  struct target_record *record = g_hash_table_lookup (members->targets, name);

  if (record != NULL)
    return record;
  record = g_new0 (struct target_record, 1);
  g_strlcpy (record->target.name, name, sizeof record->target.name);
  g_hash_table_insert (members->targets, g_strdup (name), record);
  return record;
}

static bool
has_recent_contact (const struct member_record *record, int64_t now_ms)
{
  return record->reported_state != GR_MEMBER_UNKNOWN
         && now_ms - record->member.last_contact_ms < GR_MEMBER_TIMEOUT_MS;
}

static void
set_state (struct member_record *record)
{
  record->member.state =
      record->listed_leaving ? GR_MEMBER_LEAVING : record->reported_state;
}

static void
apply_listed_member (struct gr_members *members,
                     const struct gr_instance *instance,
                     int64_t now_ms)
{
  struct member_record *record =
      get_or_add_member (members, instance->role, instance->name);

  record->listed = true;
  record->listed_ms = now_ms;
  record->listed_leaving = instance->leaving;
  set_state (record);
  /* The list lags behind: the address that a live member reported itself is
   * newer. */
  if (has_recent_contact (record, now_ms))
    return;
  g_strlcpy (record->member.address, instance->address,
             sizeof record->member.address);
  g_strlcpy (record->member.data_centre, instance->data_centre,
             sizeof record->member.data_centre);
}

static void
apply_listed_target (struct gr_members *members,
                     const struct gr_instance *instance,
                     int64_t now_ms)
{
  struct target_record *record = get_or_add_target (members, instance->name);

  /* The address changed: a new process has the name of an earlier one. */
  if (record->target.address[0] != '\0'
      && strcmp (record->target.address, instance->address) != 0)
    record->notices_valid_from_ms = now_ms;
  record->target.role = instance->role;
  record->target.listed = true;
  record->listed_ms = now_ms;
  record->listed_leaving = instance->leaving;
  g_strlcpy (record->target.address, instance->address,
             sizeof record->target.address);
  g_strlcpy (record->target.data_centre, instance->data_centre,
             sizeof record->target.data_centre);
}

static void
clear_listed (struct gr_members *members)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, members->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct member_record *)value)->listed = false;
  g_hash_table_iter_init (&iter, members->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct target_record *)value)->target.listed = false;
}

static void
remove_expired (struct gr_members *members, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, members->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct member_record *record = value;
      int64_t last_seen_ms =
          MAX (record->listed_ms, record->member.last_contact_ms);

      if (!record->listed && now_ms - last_seen_ms > GR_MEMBER_FORGET_MS)
        g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, members->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct target_record *record = value;

      if (!record->target.listed
          && now_ms - record->listed_ms > GR_MEMBER_FORGET_MS)
        g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, members->notices);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - *(int64_t *)value > GR_LEAVING_EXPIRE_MS)
      g_hash_table_iter_remove (&iter);
}

void
gr_members_apply_list (struct gr_members *members,
                       const struct gr_instance *list,
                       uint32_t count,
                       int64_t now_ms)
{
  clear_listed (members);
  for (uint32_t i = 0; i < count; i++)
    {
      if (list[i].role == GR_ROLE_ENTRY || list[i].role == GR_ROLE_SCHEDULER)
        apply_listed_member (members, &list[i], now_ms);
      else
        apply_listed_target (members, &list[i], now_ms);
    }
  remove_expired (members, now_ms);
}

/* Copies the state that a member reported. After its first reply to a
 * heartbeat, the settings of its last reply are kept, because a call may be
 * older than that reply. */
static struct member_record *
apply_reported (struct gr_members *members,
                const struct gr_member *reported,
                int64_t last_contact_ms)
{
  struct member_record *record =
      get_or_add_member (members, reported->role, reported->name);
  struct gr_member before = record->member;

  /* A call and a reply may arrive out of order; ignore the older one. */
  if (record->reported_state != GR_MEMBER_UNKNOWN
      && last_contact_ms < record->member.last_contact_ms)
    return record;
  record->member = *reported;
  record->member.last_contact_ms = last_contact_ms;
  record->member.answered_ms = before.answered_ms;
  if (before.answered_ms > 0)
    {
      record->member.settings_revision = before.settings_revision;
      record->member.settings_digest = before.settings_digest;
    }
  record->reported_state = reported->state;
  set_state (record);
  return record;
}

void
gr_members_update_from_call (struct gr_members *members,
                             const struct gr_member *reported,
                             int64_t now_ms)
{
  apply_reported (members, reported, now_ms);
}

void
gr_members_update_from_reply (struct gr_members *members,
                              const struct gr_member *reported,
                              int64_t sent_ms)
{
  struct member_record *record = apply_reported (members, reported, sent_ms);

  if (sent_ms < record->member.answered_ms)
    return;
  /* Settings are updated together with answered_ms: the peer read them after
   * the heartbeat was sent. */
  record->member.answered_ms = sent_ms;
  record->member.settings_revision = reported->settings_revision;
  record->member.settings_digest = reported->settings_digest;
}

bool
gr_members_record_target_leaving (struct gr_members *members,
                                  const char *target,
                                  int64_t asked_ms,
                                  int64_t seen_ms)
{
  const struct target_record *record =
      g_hash_table_lookup (members->targets, target);
  int64_t *known = g_hash_table_lookup (members->notices, target);

  if (record != NULL && asked_ms < record->notices_valid_from_ms)
    return false;
  if (known != NULL)
    {
      *known = MAX (*known, seen_ms);
      return false;
    }
  known = g_new (int64_t, 1);
  *known = seen_ms;
  g_hash_table_insert (members->notices, g_strdup (target), known);
  return true;
}

GArray *
gr_members_leaving_notices (const struct gr_members *members, int64_t now_ms)
{
  GArray *notices =
      g_array_new (FALSE, TRUE, sizeof (struct gr_leaving_notice));
  GHashTableIter iter;
  void *name;
  void *value;

  g_hash_table_iter_init (&iter, members->notices);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct gr_leaving_notice notice = { .seen_ms = *(int64_t *)value };

      if (now_ms - notice.seen_ms > GR_LEAVING_PROPAGATE_MS)
        continue;
      g_strlcpy (notice.target, name, sizeof notice.target);
      g_array_append_val (notices, notice);
    }
  return notices;
}

static int
compare_members (const void *a, const void *b)
{
  const struct gr_member *left = a;
  const struct gr_member *right = b;
  int order = strcmp (left->name, right->name);

  return order != 0 ? order : (int)left->role - (int)right->role;
}

GArray *
gr_members_list (const struct gr_members *members)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct gr_member));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, members->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_vals (list, &((struct member_record *)value)->member, 1);
  g_array_sort (list, compare_members);
  return list;
}

static bool
has_valid_notice (const struct gr_members *members,
                  const struct target_record *record,
                  int64_t now_ms)
{
  const int64_t *seen_ms =
      g_hash_table_lookup (members->notices, record->target.name);

  return seen_ms != NULL && now_ms - *seen_ms <= GR_LEAVING_EXPIRE_MS
         && *seen_ms >= record->notices_valid_from_ms;
}

static int
compare_targets (const void *a, const void *b)
{
  return strcmp (((const struct gr_target *)a)->name,
                 ((const struct gr_target *)b)->name);
}

GArray *
gr_members_targets (const struct gr_members *members,
                    enum gr_instance_role role,
                    int64_t now_ms)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct gr_target));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, members->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct target_record *record = value;
      struct gr_target target = record->target;

      if (target.role != role)
        continue;
      target.leaving =
          record->listed_leaving || has_valid_notice (members, record, now_ms);
      g_array_append_val (list, target);
    }
  g_array_sort (list, compare_targets);
  return list;
}

bool
gr_member_is_ready (const struct gr_member *member, int64_t now_ms)
{
  return member->state == GR_MEMBER_READY
         && now_ms - member->last_contact_ms < GR_MEMBER_TIMEOUT_MS;
}

GPtrArray *
gr_members_ready (const struct gr_members *members,
                  enum gr_instance_role role,
                  int64_t now_ms)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GArray *list = gr_members_list (members);

  for (guint i = 0; i < list->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (list, struct gr_member, i);

      if (member->role == role && gr_member_is_ready (member, now_ms))
        g_ptr_array_add (names, g_strdup (member->name));
    }
  g_array_unref (list);
  return names;
}

static const struct gr_member_shard *
find_claim (const struct gr_member *member, const char *shard)
{
  for (uint32_t i = 0; i < member->n_shards; i++)
    if (strcmp (member->shards[i].name, shard) == 0)
      return &member->shards[i];
  return NULL;
}

const char *
gr_members_shard_owner (const struct gr_members *members,
                        const char *shard,
                        int64_t now_ms,
                        uint64_t *epoch)
{
  const char *address = NULL;
  GHashTableIter iter;
  void *value;

  *epoch = 0;
  g_hash_table_iter_init (&iter, members->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct member_record *record = value;
      const struct gr_member_shard *claim;

      /* A leaving owner still serves the shard until it has handed it over. */
      if (record->member.role != GR_ROLE_SCHEDULER
          || !has_recent_contact (record, now_ms))
        continue;
      claim = find_claim (&record->member, shard);
      if (claim != NULL && (address == NULL || claim->epoch > *epoch))
        {
          address = record->member.address;
          *epoch = claim->epoch;
        }
    }
  return address;
}
