/* Tests of the membership tables and of heartbeats between processes. */
#include "members/peers.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static struct gr_instance
make_instance (const char *name,
               enum gr_instance_role role,
               const char *address)
{
  struct gr_instance result = { .role = role };

  g_strlcpy (result.name, name, sizeof result.name);
  g_strlcpy (result.address, address, sizeof result.address);
  g_strlcpy (result.data_centre, "dc1", sizeof result.data_centre);
  return result;
}

static struct gr_member
make_member (const char *name,
             enum gr_instance_role role,
             enum gr_member_state state)
{
  struct gr_member result = { .role = role, .state = state };

  g_strlcpy (result.name, name, sizeof result.name);
  g_snprintf (result.address, sizeof result.address, "new-%s", name);
  return result;
}

static bool
target_is_leaving (const struct gr_members *members, int64_t now_ms)
{
  GArray *targets = gr_members_targets (members, GR_ROLE_EXECUTOR, now_ms);
  bool leaving;

  ck_assert_uint_eq (targets->len, 1);
  leaving = g_array_index (targets, struct gr_target, 0).leaving;
  g_array_unref (targets);
  return leaving;
}

/* Guards against a lagging instance list that overrides the address which a
 * live member reported itself, and against members without recent contact that
 * count as ready. */
START_TEST (live_member_overrides_the_list)
{
  struct gr_members *members = gr_members_create ();
  struct gr_instance list = make_instance ("e1", GR_ROLE_ENTRY, "old-e1");
  struct gr_member member = make_member ("e1", GR_ROLE_ENTRY, GR_MEMBER_READY);
  GPtrArray *ready;
  GArray *all;

  gr_members_apply_list (members, &list, 1, 1000);
  ready = gr_members_ready (members, GR_ROLE_ENTRY, 1000);
  ck_assert_uint_eq (ready->len, 0);
  g_ptr_array_unref (ready);
  gr_members_update_from_reply (members, &member, 1500);
  gr_members_apply_list (members, &list, 1, 2000);
  all = gr_members_list (members);
  ck_assert_str_eq (g_array_index (all, struct gr_member, 0).address, "new-e1");
  g_array_unref (all);
  ready = gr_members_ready (members, GR_ROLE_ENTRY, 3499);
  ck_assert_uint_eq (ready->len, 1);
  g_ptr_array_unref (ready);
  ready = gr_members_ready (members, GR_ROLE_ENTRY, 3500);
  ck_assert_uint_eq (ready->len, 0);
  g_ptr_array_unref (ready);
  gr_members_apply_list (members, &list, 1, 4000);
  all = gr_members_list (members);
  ck_assert_str_eq (g_array_index (all, struct gr_member, 0).address, "old-e1");
  g_array_unref (all);
  gr_members_apply_list (members, NULL, 0, 5000);
  gr_members_apply_list (members, NULL, 0, 4001 + GR_MEMBER_FORGET_MS);
  all = gr_members_list (members);
  ck_assert_uint_eq (all->len, 0);
  g_array_unref (all);
  gr_members_destroy (members);
}
END_TEST

/* Guards against a heartbeat call that was read late from a socket: its old
 * settings must not replace those of a newer reply, nor count as read at the
 * time of receipt. */
START_TEST (calls_do_not_confirm_settings)
{
  struct gr_members *members = gr_members_create ();
  struct gr_member member = make_member ("e1", GR_ROLE_ENTRY, GR_MEMBER_READY);
  const struct gr_member *stored;
  GArray *all;

  member.settings_revision = 7;
  gr_members_update_from_reply (members, &member, 1000);
  member.settings_revision = 5;
  gr_members_update_from_call (members, &member, 9000);
  all = gr_members_list (members);
  stored = &g_array_index (all, struct gr_member, 0);
  ck_assert_int_eq (stored->last_contact_ms, 9000);
  ck_assert_int_eq (stored->answered_ms, 1000);
  ck_assert_int_eq (stored->settings_revision, 7);
  g_array_unref (all);
  gr_members_destroy (members);
}
END_TEST

/* Guards against leaving targets to which work is sent again because one source
 * does not report them as leaving, and against members that renew each other's
 * notices forever. */
START_TEST (leaving_comes_from_any_source_and_expires)
{
  struct gr_members *members = gr_members_create ();
  struct gr_instance list = make_instance ("x1", GR_ROLE_EXECUTOR, "x1:1");
  GArray *notices;

  gr_members_apply_list (members, &list, 1, 1000);
  ck_assert (!target_is_leaving (members, 1000));
  ck_assert (gr_members_record_target_leaving (members, "x1", 2000, 2000));
  ck_assert (!gr_members_record_target_leaving (members, "x1", 1500, 1500));
  ck_assert (target_is_leaving (members, 2000));
  notices =
      gr_members_leaving_notices (members, 2000 + GR_LEAVING_PROPAGATE_MS);
  ck_assert_uint_eq (notices->len, 1);
  g_array_unref (notices);
  notices =
      gr_members_leaving_notices (members, 2001 + GR_LEAVING_PROPAGATE_MS);
  ck_assert_uint_eq (notices->len, 0);
  g_array_unref (notices);
  gr_members_apply_list (members, &list, 1, 30000);
  ck_assert (target_is_leaving (members, 30000));
  ck_assert (!target_is_leaving (members, 2001 + GR_LEAVING_EXPIRE_MS));
  gr_members_record_target_leaving (members, "x1", 65000, 65000);
  ck_assert (target_is_leaving (members, 66000));
  list = make_instance ("x1", GR_ROLE_EXECUTOR, "x1:2");
  gr_members_apply_list (members, &list, 1, 67000);
  ck_assert (!target_is_leaving (members, 67000));
  gr_members_record_target_leaving (members, "x1", 66999, 68000);
  ck_assert (!target_is_leaving (members, 68000));
  list.leaving = true;
  gr_members_apply_list (members, &list, 1, 70000);
  ck_assert (target_is_leaving (members, 70000));
  list.leaving = false;
  gr_members_apply_list (members, &list, 1, 71000);
  gr_members_record_target_leaving (members, "x1", 67000, 140000);
  ck_assert (target_is_leaving (members, 140000));
  gr_members_destroy (members);
}
END_TEST

/* Guards against calls to a previous owner that still claims the shard: the
 * claim with the highest epoch wins, as long as its member has recent
 * contact. */
START_TEST (owner_is_the_claim_with_the_highest_epoch)
{
  struct gr_members *members = gr_members_create ();
  struct gr_member old = make_member ("s1", GR_ROLE_SCHEDULER, GR_MEMBER_READY);
  struct gr_member new =
      make_member ("s2", GR_ROLE_SCHEDULER, GR_MEMBER_LEAVING);
  uint64_t epoch;

  old.n_shards = new.n_shards = 1;
  g_strlcpy (old.shards[0].name, "dc1", GR_NAME_MAX);
  g_strlcpy (new.shards[0].name, "dc1", GR_NAME_MAX);
  old.shards[0].epoch = 8;
  new.shards[0].epoch = 9;
  gr_members_update_from_call (members, &new, 1000);
  gr_members_update_from_call (members, &old, 1100);
  ck_assert_str_eq (gr_members_shard_owner (members, "dc1", 1200, &epoch),
                    "new-s2");
  ck_assert_uint_eq (epoch, 9);
  ck_assert_str_eq (gr_members_shard_owner (members, "dc1", 3050, &epoch),
                    "new-s1");
  ck_assert_ptr_null (gr_members_shard_owner (members, "dc2", 1200, &epoch));
  gr_members_destroy (members);
}
END_TEST

struct process
{
  struct gr_clock *clock;
  struct gr_members *members;
  struct gr_peers *peers;
  struct gr_rpc_server *server;
  int fills;
  int calls;
  int rounds;
};

static void
handle_call (struct gr_rpc_call *call,
             const char *method,
             const msgpack_object *body,
             void *context)
{
  struct process *process = context;

  ck_assert_str_eq (method, "peer.heartbeat");
  process->calls++;
  gr_peers_handle_heartbeat (process->peers, call, body);
}

static void
fill (struct gr_member *self, void *context)
{
  ((struct process *)context)->fills++;
  self->state = GR_MEMBER_READY;
  self->settings_revision = 42;
}

static void
count_round (int64_t sent_ms, void *context)
{
  (void)sent_ms;
  ((struct process *)context)->rounds++;
}

static void
start_process (struct process *process, const char *name)
{
  struct gr_error error = GR_ERROR_INIT;

  process->clock = gr_clock_create ();
  process->members = gr_members_create ();
  process->server =
      gr_rpc_server_create ("127.0.0.1:0", handle_call, process, &error);
  process->peers =
      gr_peers_create (process->members, process->clock, name, GR_ROLE_ENTRY,
                       gr_rpc_server_address (process->server), "dc1", fill,
                       count_round, process);
}

static void
stop_process (struct process *process)
{
  gr_peers_destroy (process->peers);
  gr_rpc_server_destroy (process->server);
  gr_members_destroy (process->members);
  gr_clock_destroy (process->clock);
}

/* Guards against a process that learns only of the members that it calls
 * itself, not of those that call it, and against leaving notices that are not
 * passed on in heartbeats. */
START_TEST (heartbeats_update_both_sides)
{
  struct process a = { 0 };
  struct process b = { 0 };
  struct gr_instance list[2];
  GPtrArray *ready;

  start_process (&a, "a");
  start_process (&b, "b");
  list[0] =
      make_instance ("b", GR_ROLE_ENTRY, gr_rpc_server_address (b.server));
  list[1] = make_instance ("x1", GR_ROLE_EXECUTOR, "x1:1");
  gr_members_apply_list (a.members, list, 2, gr_clock_now_ms (a.clock));
  gr_members_apply_list (b.members, list + 1, 1, gr_clock_now_ms (b.clock));
  gr_members_record_target_leaving (a.members, "x1", gr_clock_now_ms (a.clock),
                                    gr_clock_now_ms (a.clock));
  while (a.rounds < 1
         || !target_is_leaving (b.members, gr_clock_now_ms (b.clock)))
    g_main_context_iteration (NULL, TRUE);
  ready =
      gr_members_ready (b.members, GR_ROLE_ENTRY, gr_clock_now_ms (b.clock));
  ck_assert_uint_ge (ready->len, 1);
  ck_assert_str_eq (ready->pdata[0], "a");
  g_ptr_array_unref (ready);
  stop_process (&a);
  stop_process (&b);
}
END_TEST

/* Guards against a target that gets no work because the notice of a process
 * that had its name before comes from a peer after the list with the new one.
 */
START_TEST (late_notices_do_not_concern_a_new_process)
{
  struct process a = { 0 };
  struct process b = { 0 };
  struct gr_instance list[2];

  start_process (&a, "a");
  start_process (&b, "b");
  list[0] =
      make_instance ("b", GR_ROLE_ENTRY, gr_rpc_server_address (b.server));
  list[1] = make_instance ("x1", GR_ROLE_EXECUTOR, "x1:1");
  gr_members_apply_list (a.members, list, 2, gr_clock_now_ms (a.clock));
  while (a.fills < 1)
    g_main_context_iteration (NULL, TRUE);
  gr_members_record_target_leaving (b.members, "x1", gr_clock_now_ms (b.clock),
                                    gr_clock_now_ms (b.clock));
  while (b.calls < 1)
    g_main_context_iteration (NULL, TRUE);
  g_usleep (50 * G_TIME_SPAN_MILLISECOND);
  list[1] = make_instance ("x1", GR_ROLE_EXECUTOR, "x1:2");
  gr_members_apply_list (a.members, list, 2, gr_clock_now_ms (a.clock));
  while (a.rounds < 1)
    g_main_context_iteration (NULL, TRUE);
  ck_assert (!target_is_leaving (a.members, gr_clock_now_ms (a.clock)));
  gr_members_record_target_leaving (b.members, "x1", gr_clock_now_ms (b.clock),
                                    gr_clock_now_ms (b.clock));
  while (!target_is_leaving (a.members, gr_clock_now_ms (a.clock)))
    g_main_context_iteration (NULL, TRUE);
  stop_process (&a);
  stop_process (&b);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("members");
  TCase *tcase = tcase_create ("members");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, live_member_overrides_the_list);
  tcase_add_test (tcase, calls_do_not_confirm_settings);
  tcase_add_test (tcase, leaving_comes_from_any_source_and_expires);
  tcase_add_test (tcase, owner_is_the_claim_with_the_highest_epoch);
  tcase_add_test (tcase, heartbeats_update_both_sides);
  tcase_add_test (tcase, late_notices_do_not_concern_a_new_process);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
