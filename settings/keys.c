#include "settings/keys.h"

#define PROCESS(field) offsetof (struct gr_process_settings, field), 0
#define MODES "off|observe|on"
#define INSTANCE(field) offsetof (struct gr_instance_settings, field), 0
#define PLATFORM(field) offsetof (struct gr_platform_settings, field), 0
#define ACCOUNT(field) offsetof (struct gr_account_settings, field), 0
#define GUARANTEE(field) offsetof (struct gr_guarantee, field), 0
#define CHAR_ARRAY(type, field)                                                \
  offsetof (struct type, field), sizeof (((struct type *)NULL)->field)

/* clang-format off */
const struct gr_key gr_keys[] = {
  { GR_DOCUMENT_PROCESS, GR_KEY_NAME, "process", "instance", "", 0, 0, NULL,
    NULL, PROCESS (instance),
    "Name of this instance, unique among all processes." },
  { GR_DOCUMENT_PROCESS, GR_KEY_NAME, "process", "data_centre", "", 0, 0,
    NULL, NULL, PROCESS (data_centre),
    "Data centre in which the instance runs." },
  { GR_DOCUMENT_PROCESS, GR_KEY_NAME, "process", "region", "", 0, 0, NULL,
    "region1", PROCESS (region),
    "Region of the data centre." },
  { GR_DOCUMENT_PROCESS, GR_KEY_ADDRESS, "process", "http_address", "", 0, 0,
    NULL, "127.0.0.1:0", PROCESS (http_address),
    "Address on which HTTP is served; port 0 selects a free port." },
  { GR_DOCUMENT_PROCESS, GR_KEY_ADDRESS, "process", "rpc_address", "", 0, 0,
    NULL, "127.0.0.1:0", PROCESS (rpc_address),
    "Address for RPC between the system's processes; port 0 selects a free "
    "port." },
  { GR_DOCUMENT_PROCESS, GR_KEY_FILE, "process", "tls_certificate", "", 0, 0,
    NULL, "", PROCESS (tls_certificate),
    "PEM file of the certificate. HTTPS is served if tls_key is set as well." },
  { GR_DOCUMENT_PROCESS, GR_KEY_FILE, "process", "tls_key", "", 0, 0, NULL,
    "", PROCESS (tls_key),
    "PEM file of the private key." },
  { GR_DOCUMENT_PROCESS, GR_KEY_SHA256, "process", "operator_token_sha256",
    "", 0, 0, NULL, "", PROCESS (operator_token_sha256),
    "SHA-256 of the operators' token. If empty, only loopback callers may use "
    "operators' resources." },
  { GR_DOCUMENT_PROCESS, GR_KEY_URL, "platform", "kv_url", "", 0, 0, NULL,
    NULL, PROCESS (kv_url), "URL of the key-value service." },
  { GR_DOCUMENT_PROCESS, GR_KEY_URL, "platform", "instances_url", "", 0, 0,
    NULL, NULL, PROCESS (instances_url), "URL of the instance list." },
  { GR_DOCUMENT_PROCESS, GR_KEY_UINT, "platform", "kv_writes_per_s",
    "calls/s", 1, 10000, NULL, "60", PROCESS (kv_writes_per_s),
    "Maximum rate of writes of this process to the key-value service. The "
    "default is enough for one group commit every 20 ms." },
  { GR_DOCUMENT_PROCESS, GR_KEY_UINT, "platform", "kv_reads_per_s", "calls/s",
    1, 10000, NULL, "100", PROCESS (kv_reads_per_s),
    "Maximum rate of reads of this process from the key-value service." },
  { GR_DOCUMENT_PROCESS, GR_KEY_UINT, "platform", "kv_timeout_ms", "ms", 100,
    60000, NULL, "2000", PROCESS (kv_timeout_ms),
    "Timeout of a call to the key-value service." },
  { GR_DOCUMENT_PROCESS, GR_KEY_CHOICE, "log", "level", "", 0, 0,
    "debug|info|warning", "info", PROCESS (log_level),
    "Lowest level of messages that are logged." },

  { GR_DOCUMENT_INSTANCE, GR_KEY_NAME, "instance", "name", "", 0, 0, NULL,
    NULL, INSTANCE (instance), "Name of the instance." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NAME, "instance", "data_centre", "", 0, 0,
    NULL, NULL, INSTANCE (data_centre),
    "Data centre in which the instance runs." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NUMBER, "instance", "cpu_share", "cores", 0,
    1000, NULL, "1", INSTANCE (cpu_share),
    "CPU cores of the instance. Instances with more cores try to become the "
    "scheduling owner before those with fewer." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "instance", "client_address", "", 0,
    0, NULL, NULL, INSTANCE (client_address),
    "Address on which clients are served." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "instance", "ready_address", "", 0,
    0, NULL, NULL, INSTANCE (ready_address),
    "Address of the readiness check by which the load balancer decides whether "
    "to send connections." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "instance", "metrics_address", "", 0,
    0, NULL, NULL, INSTANCE (metrics_address),
    "Address on which metrics are served at /metrics." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_ADDRESS, "platform", "store_address", "", 0,
    0, NULL, NULL, INSTANCE (store_address), "Address of the metadata store." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_OPTIONAL_ADDRESS, "platform", "advice_address", "", 0, 0,
    NULL, "", INSTANCE (advice_address),
    "Address of the service that reports which workers may run a step, or "
    "empty." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_OPTIONAL_ADDRESS, "platform", "machines_address", "", 0,
    0, NULL, "", INSTANCE (machines_address),
    "Address of the interface to the workers' machines, or empty." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "platform", "heartbeat_ms", "ms", 100,
    60000, NULL, "1500", INSTANCE (heartbeat_ms),
    "Interval at which a worker updates its registry entry." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "revoke_ms", "ms", 1000,
    600000, NULL, "5000", INSTANCE (revoke_ms),
    "Maximum time until a revoked API key is refused by all instances. An "
    "instance whose configuration may be older than this refuses all calls." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "grace_s", "s", 1, 3600,
    NULL, "6", INSTANCE (grace_s),
    "Time from SIGTERM until the process is killed." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "max_hold_ms", "ms", 1000,
    600000, NULL, "10000", INSTANCE (max_hold_ms),
    "Longest lease that a worker grants to its runs." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "gang_wait_ms", "ms", 100,
    600000, NULL, "3000", INSTANCE (gang_wait_ms),
    "Time that a member of a gang waits for the others." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "reclaim_ms", "ms", 100,
    600000, NULL, "2700", INSTANCE (reclaim_ms),
    "Time within which guaranteed work starts." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NUMBER, "bounds", "checkpoint_s", "s", 0.001,
    600, NULL, "1", INSTANCE (checkpoint_s),
    "Amount of work between two checkpoints of a task." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_NUMBER, "bounds", "far_factor", "", 1, 1000,
    NULL, "3", INSTANCE (far_factor),
    "Slowdown factor of a task that does not run on the rack of its data." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "state_kept_s", "s", 1,
    1000000, NULL, "120", INSTANCE (state_kept_s),
    "Time for which the state of a job can be read after the job has ended." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "evacuate_ms", "ms", 0,
    600000, NULL, "0", INSTANCE (evacuate_ms),
    "Time after which nothing may be started in a data centre that the "
    "operator evacuates; 0: requests to evacuate are ignored." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "bounds", "stop_ms", "ms", 0, 60000,
    NULL, "200", INSTANCE (stop_ms), "Longest time that the stop of a run takes." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_UINT, "clients", "state_wait_ms", "ms", 0,
    10000, NULL, "0", INSTANCE (state_wait_ms),
    "Time for which a request for the state of a job that has not ended waits "
    "for a change; 0: it is answered at once." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_CHOICE, "learning", "run_times", "", 0, 0,
    MODES, "off", INSTANCE (run_times),
    "Whether run times are learned from finished runs and replace estimates." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_CHOICE, "learning", "speeds", "", 0, 0, MODES,
    "off", INSTANCE (speeds),
    "Whether the speeds of workers are learned from finished runs." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_CHOICE, "placement", "objectives", "", 0, 0,
    MODES, "off", INSTANCE (objectives),
    "Whether work is ordered and placed by its expected completion." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_CHOICE, "preemption", "budget", "", 0, 0,
    MODES, "off", INSTANCE (budget),
    "Whether the work that is lost to preemption is limited." },
  { GR_DOCUMENT_INSTANCE, GR_KEY_CHOICE, "log", "level", "", 0, 0,
    "debug|info|warning", "info", INSTANCE (log_level),
    "Lowest level of messages that are logged." },

  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "members", "entry_instances",
    "instances", 1, 1000, NULL, "9", PLATFORM (entry_instances),
    "Number of entry instances. Majorities and minimum rates are computed for "
    "this number plus one, because a rolling replacement adds an instance." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "store", "commit_interval_ms", "ms", 1,
    1000, NULL, "20", PLATFORM (commit_interval_ms),
    "Interval of group commits to the key-value service." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_NAMES, "shards", "names", "", 1, 64, NULL,
    "dc1;dc2;dc3", CHAR_ARRAY (gr_platform_settings, shards),
    "Names of the shards, one per data centre." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "owner_lease_ttl_s", "s", 3,
    60, NULL, "9", PLATFORM (owner_lease_ttl_s),
    "Time to live of the lease on a shard's owner key." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "start_lease_term_ms", "ms",
    1000, 60000, NULL, "10000", PLATFORM (start_lease_term_ms),
    "Term of the lease on a worker while a gang starts." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "run_lease_term_ms", "ms",
    3000, 600000, NULL, "30000", PLATFORM (run_lease_term_ms),
    "Term of the lease on a worker while work runs. Must be longer than "
    "owner_lease_ttl_s, so that running work survives a change of owner." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "shards", "tick_ms", "ms", 10, 1000,
    NULL, "50", PLATFORM (tick_ms),
    "Interval of scheduling decisions." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "jobs", "max_attempts", "starts", 1,
    100, NULL, "3", PLATFORM (max_attempts),
    "Number of failed starts on healthy workers after which a job counts as faulty; a worker is known to be healthy if other jobs pass on it. Without such workers three times as many." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "retry_percent", "%", 0,
    100, NULL, "10", PLATFORM (retry_percent),
    "Maximum number of retries, as a percentage of first attempts." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "default_deadline_ms",
    "ms", 10, 3600000, NULL, "10000", PLATFORM (default_deadline_ms),
    "Deadline of a request that does not specify one." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "max_body_bytes", "bytes",
    1024, 67108864, NULL, "1048576", PLATFORM (max_body_bytes),
    "Maximum size of a request body." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests", "long_share_percent", "%",
    1, 100, NULL, "50", PLATFORM (long_share_percent),
    "Maximum share of the slots that long-running kinds may use." },
  { GR_DOCUMENT_PLATFORM, GR_KEY_UINT, "requests",
    "connections_per_executor", "connections", 1, 60, NULL, "6", PLATFORM
    (connections_per_executor),
    "Maximum number of connections from one instance to one executor. An "
    "executor accepts about 60: enough for 6 connections from each of 9 "
    "instances and one replacement." },

  { GR_DOCUMENT_TEAM, GR_KEY_CHOICE, "account", "priority", "", 0, 0,
    "urgent|normal|batch", "normal", ACCOUNT (priority),
    "Priority of work that does not specify one: urgent if a customer is "
    "waiting, batch for overnight work." },
  { GR_DOCUMENT_TEAM, GR_KEY_NUMBER, "account", "rate_per_s", "requests/s", 0,
    1000000, NULL, "0", ACCOUNT (rate_per_s),
    "Maximum rate of requests over all instances; 0: no requests allowed." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "account", "quota_accelerators",
    "accelerators", 0, 1000000, NULL, "0", ACCOUNT (quota_accelerators),
    "Maximum number of accelerators in use at the same time in each shard; 0: "
    "no limit." },
  { GR_DOCUMENT_TEAM, GR_KEY_SHA256, "account", "token_sha256", "", 0, 0,
    NULL, "", CHAR_ARRAY (gr_account_settings, token_sha256),
    "SHA-256 of the team's token. If empty, no token is valid." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "guarantee", "workers", "workers", 1, 1024,
    NULL, NULL, GUARANTEE (shape.workers),
    "Number of adjacent workers in the shape." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "guarantee",
    "accelerators_per_worker", "accelerators", 1, GR_MAX_ACCELERATORS, NULL,
    NULL, GUARANTEE (shape.accelerators_per_worker),
    "Number of accelerators on each of these workers." },
  { GR_DOCUMENT_TEAM, GR_KEY_NAME, "guarantee", "data_centre", "", 0, 0, NULL,
    NULL, CHAR_ARRAY (gr_guarantee, data_centre),
    "Data centre in which the shape is guaranteed." },
  { GR_DOCUMENT_TEAM, GR_KEY_UINT, "guarantee", "count", "shapes", 1, 1024,
    NULL, "1", GUARANTEE (count),
    "Number of shapes that are guaranteed at the same time." },
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
