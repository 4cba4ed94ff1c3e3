#include "settings/keys.h"

#define PROCESS(field) offsetof (struct gr_process_settings, field), 0
#define INSTANCE(field) offsetof (struct gr_instance_settings, field), 0
#define PLATFORM(field) offsetof (struct gr_platform_settings, field), 0
#define ACCOUNT(field) offsetof (struct gr_account_settings, field), 0
#define GUARANTEE(field) offsetof (struct gr_guarantee, field), 0
#define TEXT(type, field)                                                      \
  offsetof (struct type, field), sizeof (((struct type *)NULL)->field)

/* clang-format off */
const struct gr_key gr_keys[] = {
  { GR_DOCUMENT_PROCESS, GR_KEY_NAME, "process", "instance", "", 0, 0, NULL,
    NULL, PROCESS (instance),
    "Name of this process's instance, unique among all processes." },
  { GR_DOCUMENT_PROCESS, GR_KEY_NAME, "process", "data_centre", "", 0, 0,
    NULL, NULL, PROCESS (data_centre),
    "Data centre that the instance runs in." },
  { GR_DOCUMENT_PROCESS, GR_KEY_NAME, "process", "region", "", 0, 0, NULL,
    "region1", PROCESS (region),
    "Region of the data centre." },
  { GR_DOCUMENT_PROCESS, GR_KEY_ADDRESS, "process", "http_address", "", 0, 0,
    NULL, "127.0.0.1:0", PROCESS (http_address),
    "Address on which HTTP is served; port 0 takes a free one." },
  { GR_DOCUMENT_PROCESS, GR_KEY_ADDRESS, "process", "rpc_address", "", 0, 0,
    NULL, "127.0.0.1:0", PROCESS (rpc_address),
    "Address for calls between our processes; port 0 takes a free one." },
  { GR_DOCUMENT_PROCESS, GR_KEY_FILE, "process", "tls_certificate", "", 0, 0,
    NULL, "", PROCESS (tls_certificate),
    "PEM file of the certificate. With tls_key, HTTPS is served." },
  { GR_DOCUMENT_PROCESS, GR_KEY_FILE, "process", "tls_key", "", 0, 0, NULL,
    "", PROCESS (tls_key),
    "PEM file of the private key." },
  { GR_DOCUMENT_PROCESS, GR_KEY_SHA256, "process", "operator_token_sha256",
    "", 0, 0, NULL, "", PROCESS (operator_token_sha256),
    "SHA-256 of the operators' token. If empty, operators' resources are open "
    "to loopback callers only." },
  { GR_DOCUMENT_PROCESS, GR_KEY_URL, "platform", "kv_url", "", 0, 0, NULL,
    NULL, PROCESS (kv_url), "Key-value service." },
  { GR_DOCUMENT_PROCESS, GR_KEY_URL, "platform", "instances_url", "", 0, 0,
    NULL, NULL, PROCESS (instances_url), "Instance list." },
  { GR_DOCUMENT_PROCESS, GR_KEY_UINT, "platform", "kv_writes_per_s",
    "calls/s", 1, 10000, NULL, "60", PROCESS (kv_writes_per_s),
    "Writes to the key-value service that this process may make. The default "
    "leaves room for one group commit every 20 ms." },
  { GR_DOCUMENT_PROCESS, GR_KEY_UINT, "platform", "kv_reads_per_s", "calls/s",
    1, 10000, NULL, "100", PROCESS (kv_reads_per_s),
    "Reads from the key-value service that this process may make." },
  { GR_DOCUMENT_PROCESS, GR_KEY_UINT, "platform", "kv_timeout_ms", "ms", 100,
    60000, NULL, "2000", PROCESS (kv_timeout_ms),
    "Time after which a call to the key-value service counts as lost." },
  { GR_DOCUMENT_PROCESS, GR_KEY_CHOICE, "log", "level", "", 0, 0,
    "debug|info|warning", "info", PROCESS (log_level),
    "Lowest level that is logged." },

  { GR_DOCUMENT_INSTANCE, GR_KEY_NAME, "instance", "name", "", 0, 0, NULL,
    NULL, INSTANCE (instance), "Name of the instance." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NAME, "instance", "data_centre", "", 0, 0,
    NULL, NULL, INSTANCE (data_centre),
    "Data centre that the instance runs in." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NUMBER, "instance", "cpu_share", "cores", 0,
    1000, NULL, "1", INSTANCE (cpu_share),
    "Processor time of the instance. The largest instances try first to own "
    "the scheduling." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "instance", "client_address", "", 0,
    0, NULL, NULL, INSTANCE (client_address),
    "Address on which clients are served." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "instance", "ready_address", "", 0,
    0, NULL, NULL, INSTANCE (ready_address),
    "Address on which the load balancer asks whether to send connections." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "instance", "metrics_address", "", 0,
    0, NULL, NULL, INSTANCE (metrics_address),
    "Address on which counters are served at /metrics." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "platform", "store_address", "", 0,
    0, NULL, NULL, INSTANCE (store_address), "Metadata store." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_OPTIONAL_ADDRESS, "platform", "advice_address", "", 0, 0,
    NULL, "", INSTANCE (advice_address),
    "Service that says which workers may run a step, IP:PORT or empty." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_OPTIONAL_ADDRESS, "platform", "machines_address", "", 0,
    0, NULL, "", INSTANCE (machines_address),
    "Interface to the workers' machines, IP:PORT or empty." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "platform", "heartbeat_ms", "ms", 100,
    60000, NULL, "1500", INSTANCE (heartbeat_ms),
    "Time between two entries that a worker writes about itself." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "revoke_ms", "ms", 1000,
    600000, NULL, "5000", INSTANCE (revoke_ms),
    "A key that was taken away is refused everywhere after this time; an "
    "instance whose configuration may be older refuses all calls." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "grace_s", "s", 1, 3600,
    NULL, "6", INSTANCE (grace_s),
    "Time from SIGTERM until the process is killed." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "max_hold_ms", "ms", 1000,
    600000, NULL, "10000", INSTANCE (max_hold_ms),
    "Longest lease that a worker gives its runs." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "gang_wait_ms", "ms", 100,
    600000, NULL, "3000", INSTANCE (gang_wait_ms),
    "Time that a member of a gang waits for the others." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "reclaim_ms", "ms", 100,
    600000, NULL, "2700", INSTANCE (reclaim_ms),
    "Guaranteed work begins within this time." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NUMBER, "bounds", "checkpoint_s", "s", 0.001,
    600, NULL, "1", INSTANCE (checkpoint_s),
    "Work between two checkpoints of a task." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NUMBER, "bounds", "far_factor", "", 1, 1000,
    NULL, "3", INSTANCE (far_factor),
    "Slowdown of a task that is not on the rack of its data." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "state_kept_s", "s", 1,
    1000000, NULL, "120", INSTANCE (state_kept_s),
    "The state of a job can be read for this time after its end." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_CHOICE, "log", "level", "", 0, 0,
    "debug|info|warning", "info", INSTANCE (log_level),
    "Lowest level that is logged." },

  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "members", "entry_instances",
    "instances", 1, 1000, NULL, "9", PLATFORM (entry_instances),
    "Number of entry instances. Majorities and rate floors are computed over "
    "this number plus one, the extra instance of a rolling replacement." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "store", "commit_interval_ms", "ms", 1,
    1000, NULL, "20", PLATFORM (commit_interval_ms),
    "Interval of group commits to the key-value service." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_NAMES, "shards", "names", "", 1, 64, NULL,
    "dc1;dc2;dc3", TEXT (gr_platform_settings, shards),
    "Names of the shards; one for each data centre." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "owner_lease_ttl_s", "s", 3,
    60, NULL, "9", PLATFORM (owner_lease_ttl_s),
    "Time to live of the lease on a shard's owner key." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "start_lease_term_ms", "ms",
    1000, 60000, NULL, "10000", PLATFORM (start_lease_term_ms),
    "Term of worker leases while a gang starts." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "run_lease_term_ms", "ms",
    3000, 600000, NULL, "30000", PLATFORM (run_lease_term_ms),
    "Term of worker leases of running work. Above owner_lease_ttl_s, so that "
    "running work outlives a change of owner." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "tick_ms", "ms", 10, 1000,
    NULL, "50", PLATFORM (tick_ms),
    "Interval at which a scheduler decides." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "jobs", "max_attempts", "starts", 1,
    100, NULL, "3", PLATFORM (max_attempts),
    "Starts of a job on healthy workers before it is considered faulty." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "retry_percent", "%", 0,
    100, NULL, "10", PLATFORM (retry_percent),
    "Retries that are allowed, in percent of first attempts." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "default_deadline_ms",
    "ms", 10, 3600000, NULL, "10000", PLATFORM (default_deadline_ms),
    "Deadline of a request that states none." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "max_body_bytes", "bytes",
    1024, 67108864, NULL, "1048576", PLATFORM (max_body_bytes),
    "Longest body of a request." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "long_share_percent", "%",
    1, 100, NULL, "50", PLATFORM (long_share_percent),
    "Share of the slots that long-running kinds may hold." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests",
    "connections_per_executor", "connections", 1, 60, NULL, "6", PLATFORM
    (connections_per_executor),
    "Connections of one instance to one executor. An executor takes about 60; "
    "6 leaves room for 9 instances and one replacement." },

  { GR_DOCUMENT_TEAM, GR_KEY_CHOICE, "account", "priority", "", 0, 0,
    "urgent|normal|batch", "normal", ACCOUNT (priority),
    "Priority of work that states none: urgent if a customer is waiting, "
    "batch for overnight work." },
  { GR_DOCUMENT_TEAM, GR_KEY_NUMBER, "account", "rate_per_s", "requests/s", 0,
    1000000, NULL, "0", ACCOUNT (rate_per_s),
    "Requests over all instances; 0: none." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "account", "quota_accelerators",
    "accelerators", 0, 1000000, NULL, "0", ACCOUNT (quota_accelerators),
    "Accelerators that may run at one time in each shard; 0: no limit." },
  { GR_DOCUMENT_TEAM, GR_KEY_SHA256, "account", "token_sha256", "", 0, 0,
    NULL, "", TEXT (gr_account_settings, token_sha256),
    "SHA-256 of the team's token. If empty, no token is valid." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "guarantee", "workers", "workers", 1, 1024,
    NULL, NULL, GUARANTEE (shape.workers),
    "Adjacent workers of the shape." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "guarantee",
    "accelerators_per_worker", "accelerators", 1, GR_MAX_ACCELERATORS, NULL,
    NULL, GUARANTEE (shape.accelerators_per_worker),
    "Accelerators on each of the workers." },
  { GR_DOCUMENT_TEAM, GR_KEY_NAME, "guarantee", "data_centre", "", 0, 0, NULL,
    NULL, TEXT (gr_guarantee, data_centre),
    "Data centre of the shape." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "guarantee", "count", "shapes", 1, 1024,
    NULL, "1", GUARANTEE (count),
    "Number of such shapes that are guaranteed at the same time." },
};
/* clang-format on */

const size_t gr_n_keys = G_N_ELEMENTS (gr_keys);

const struct gr_key *
gr_key_find (enum gr_document_kind kind, const char *section, const char *key)
{
  for (size_t i = 0; i < gr_n_keys; i++)
    if (gr_keys[i].kind == kind && g_str_equal (gr_keys[i].section, section)
        && g_str_equal (gr_keys[i].key, key))
      return &gr_keys[i];
  return NULL;
}

bool
gr_key_has_section (enum gr_document_kind kind, const char *section)
{
  for (size_t i = 0; i < gr_n_keys; i++)
    if (gr_keys[i].kind == kind && g_str_equal (gr_keys[i].section, section))
      return true;
  return false;
}
