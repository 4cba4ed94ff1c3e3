#include "common/log.h"
#include "standins/advice.h"
#include "standins/executor.h"
#include "standins/instances.h"
#include "standins/kv.h"
#include "standins/load-mode.h"
#include "standins/metastore.h"
#include "standins/relay.h"
#include "standins/worker-process.h"
#include "standins/worker.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>

/* Maximum number of workers or executors in one process. */
#define MAX_TARGETS 200

struct options
{
  char *listen;
  char *control;
  char *target;
  char *name;
  char *data_centre;
  char *rack;
  char *instances_url;
  char *advertised;
  int number;
  int paths;
  int workers;
  int executors;
  int slots;
  int per_rack;
  int accelerators;
  int cores;
  int memory_mb;
};

struct standins
{
  struct options options;
  struct gr_standin_kv *kv;
  struct gr_standin_instances *instances;
  GPtrArray *relays; /* struct gr_relay */
  GPtrArray *workers;
  GPtrArray *executors;
  struct gr_load_mode *load;
  struct gr_standin_platform *platform;
  struct gr_worker_process *worker_process;
  struct gr_standin_advice *advice;
  GMainLoop *loop;
  int exit_code;
};

/* Reports on standard output that a stand-in accepts connections. Scripts and
 * tests read the address from this line. */
static void
print_address (const char *address, const char *name)
{
  printf ("listening http=%s%s%s\n", address, name ? " name=" : "",
          name ? name : "");
  fflush (stdout);
}

static bool
start_kv (struct standins *standins, struct gr_error *error)
{
  standins->kv = gr_standin_kv_create (standins->options.listen, error);
  if (standins->kv == NULL)
    return false;
  print_address (gr_standin_address (gr_standin_kv_base (standins->kv)), NULL);
  return true;
}

static struct gr_standin_platform_settings
platform_settings (const struct options *options)
{
  return (struct gr_standin_platform_settings){
    .listen = options->listen,
    .workers = (uint32_t)options->workers,
    .per_rack = (uint32_t)options->per_rack,
    .accelerators = (uint32_t)options->accelerators,
    .cores = (uint32_t)options->cores,
    .memory_mb = (uint32_t)options->memory_mb,
  };
}

static bool
start_platform (struct standins *standins, struct gr_error *error)
{
  struct gr_standin_platform_settings platform =
      platform_settings (&standins->options);

  standins->platform = gr_standin_platform_create (&platform, error);
  if (standins->platform == NULL)
    return false;
  print_address (
      gr_standin_address (gr_standin_platform_base (standins->platform)), NULL);
  return true;
}

static bool
start_instances (struct standins *standins, struct gr_error *error)
{
  standins->instances =
      gr_standin_instances_create (standins->options.listen, error);
  if (standins->instances == NULL)
    return false;
  print_address (
      gr_standin_address (gr_standin_instances_base (standins->instances)),
      NULL);
  return true;
}

/* Returns the name of the target with this index: NAME-INDEX, or NAME if there
 * is only one target. Free it with g_free (). */
static char *
target_name (const struct options *options,
             const char *role,
             int index,
             int count)
{
  const char *name = options->name ? options->name : role;

  return count == 1 ? g_strdup (name) : g_strdup_printf ("%s-%d", name, index);
}

/* Returns the address with its port, unless it is 0, raised by index, to be
 * freed with g_free (). Several targets use ports that follow each other. */
static char *
numbered_address (const char *address, int index)
{
  const char *colon = strrchr (address, ':');
  guint64 port = colon ? g_ascii_strtoull (colon + 1, NULL, 10) : 0;

  if (port == 0)
    return g_strdup (address);
  return g_strdup_printf ("%.*s:%" G_GUINT64_FORMAT, (int)(colon - address),
                          address, port + (guint64)index);
}

static bool
start_worker (struct standins *standins, int index, struct gr_error *error)
{
  const struct options *options = &standins->options;
  char *name = target_name (options, "worker", index, options->workers);
  char *listen = numbered_address (options->listen, index);
  char *rack =
      g_strdup_printf ("%s-%d", options->rack, index / options->per_rack);
  struct gr_standin_worker_settings settings = {
    .name = name,
    .rack = rack,
    .rack_slot = (uint32_t)(index % options->per_rack),
    .data_centre = options->data_centre,
    .accelerators = (uint32_t)options->accelerators,
    .cores = (uint32_t)options->cores,
    .memory_mb = (uint64_t)options->memory_mb,
    .instances_url = options->instances_url,
  };
  struct gr_standin_worker *worker =
      gr_standin_worker_create (listen, &settings, error);

  if (worker != NULL)
    {
      g_ptr_array_add (standins->workers, worker);
      print_address (gr_standin_address (gr_standin_worker_base (worker)),
                     name);
    }
  g_free (name);
  g_free (listen);
  g_free (rack);
  return worker != NULL;
}

static bool
start_workers (struct standins *standins, struct gr_error *error)
{
  for (int i = 0; i < standins->options.workers; i++)
    if (!start_worker (standins, i, error))
      return false;
  return true;
}

static bool
start_executor (struct standins *standins, int index, struct gr_error *error)
{
  const struct options *options = &standins->options;
  char *name = target_name (options, "executor", index, options->executors);
  char *listen = numbered_address (options->listen, index);
  struct gr_standin_executor_settings settings = {
    .name = name,
    .data_centre = options->data_centre,
    .slots = (uint32_t)options->slots,
    .instances_url = options->instances_url,
  };
  struct gr_standin_executor *executor =
      gr_standin_executor_create (listen, &settings, error);

  if (executor != NULL)
    {
      g_ptr_array_add (standins->executors, executor);
      print_address (gr_standin_address (gr_standin_executor_base (executor)),
                     name);
    }
  g_free (name);
  g_free (listen);
  return executor != NULL;
}

static bool
start_executors (struct standins *standins, struct gr_error *error)
{
  for (int i = 0; i < standins->options.executors; i++)
    if (!start_executor (standins, i, error))
      return false;
  return true;
}

static bool
start_relay (struct standins *standins, int index, struct gr_error *error)
{
  const struct options *options = &standins->options;
  g_autofree char *listen = numbered_address (options->listen, index);
  g_autofree char *target = numbered_address (options->target, index);
  g_autofree char *control = numbered_address (options->control, index);
  struct gr_relay *relay = gr_relay_create (listen, target, control, error);

  if (relay == NULL)
    return false;
  g_ptr_array_add (standins->relays, relay);
  printf ("listening tcp=%s http=%s\n", gr_relay_address (relay),
          gr_standin_address (gr_relay_base (relay)));
  fflush (stdout);
  return true;
}

static bool
start_relays (struct standins *standins, struct gr_error *error)
{
  if (standins->options.target == NULL)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "relay requires --target=IP:PORT");
  for (int i = 0; i < standins->options.paths; i++)
    if (!start_relay (standins, i, error))
      return false;
  return true;
}

static bool
start_platform_worker (struct standins *standins, struct gr_error *error)
{
  const struct options *options = &standins->options;
  struct gr_worker_process_settings settings = {
    .id = options->name,
    .listen = options->listen,
    .advertised = options->advertised,
    .store = options->target,
    .number = (uint32_t)options->number,
    .platform = platform_settings (options),
  };

  if (options->name == NULL || options->advertised == NULL
      || options->target == NULL)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "platform-worker requires --name, --advertised and "
                         "--target");
  standins->worker_process =
      gr_worker_process_create (&settings, standins->loop, error);
  return standins->worker_process != NULL;
}

/* Its times and policy are set by POST /control. */
static bool
start_advice (struct standins *standins, struct gr_error *error)
{
  struct gr_standin_advice_settings settings = { .valid_ms = 3000,
                                                 .allowed_percent = 100 };

  standins->advice =
      gr_standin_advice_create (standins->options.listen, &settings, error);
  if (standins->advice == NULL)
    return false;
  print_address (gr_standin_address (gr_standin_advice_base (standins->advice)),
                 NULL);
  return true;
}

static void
handle_load_end (uint32_t violations, void *context)
{
  struct standins *standins = context;

  standins->exit_code = violations == 0 ? 0 : 1;
  g_main_loop_quit (standins->loop);
}

static bool
start_load (struct standins *standins, struct gr_error *error)
{
  return gr_load_mode_start (standins->load, standins->options.instances_url,
                             handle_load_end, standins, error);
}

static const struct
{
  const char *name;
  bool (*start) (struct standins *standins, struct gr_error *error);
} modes[] = {
  { "kv", start_kv },
  { "instances", start_instances },
  { "worker", start_workers },
  { "executor", start_executors },
  { "relay", start_relays },
  { "load", start_load },
  { "platform", start_platform },
  { "platform-worker", start_platform_worker },
  { "advice", start_advice },
};

static bool
check_options (const struct options *options, struct gr_error *error)
{
  if (options->workers < 0 || options->workers > MAX_TARGETS
      || options->executors < 1 || options->executors > MAX_TARGETS)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "--workers must be 0 to %d, and --executors 1 to %d",
                         MAX_TARGETS, MAX_TARGETS);
  if (options->accelerators < 1 || options->accelerators > GR_MAX_ACCELERATORS)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "--accelerators must be 1 to %d", GR_MAX_ACCELERATORS);
  if (options->paths < 1 || options->paths > MAX_TARGETS)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "--paths must be 1 to %d", MAX_TARGETS);
  if (options->slots < 1 || options->per_rack < 1 || options->cores < 0
      || options->memory_mb < 0)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "--slots and --per-rack must be at least 1, --cores "
                         "and --memory-mb at least 0");
  return true;
}

static bool
start_mode (struct standins *standins, const char *mode, struct gr_error *error)
{
  if (!check_options (&standins->options, error))
    return false;
  for (size_t i = 0; mode != NULL && i < G_N_ELEMENTS (modes); i++)
    if (strcmp (modes[i].name, mode) == 0)
      return modes[i].start (standins, error);
  return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                       "the mode must be kv, instances, worker, executor, "
                       "relay, load, platform, platform-worker or advice");
}

static bool
parse_options (struct standins *standins, int *argc, char ***argv)
{
  struct options *options = &standins->options;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
      "Address to listen on; port 0 selects a free port", "IP:PORT" },
    { "control", 0, 0, G_OPTION_ARG_STRING, &options->control,
      "Control address of a relay", "IP:PORT" },
    { "advertised", 0, 0, G_OPTION_ARG_STRING, &options->advertised,
      "Address in the entry of a platform worker", "IP:PORT" },
    { "number", 0, 0, G_OPTION_ARG_INT, &options->number,
      "Number of a platform worker", "N" },
    { "target", 0, 0, G_OPTION_ARG_STRING, &options->target,
      "Address that a relay connects to", "IP:PORT" },
    { "paths", 0, 0, G_OPTION_ARG_INT, &options->paths,
      "Relays in this process, with ports that follow each other", "N" },
    { "instances-url", 0, 0, G_OPTION_ARG_STRING, &options->instances_url,
      "Instance list to register in", "URL" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &options->name,
      "Name, or prefix of the names", "NAME" },
    { "data-centre", 0, 0, G_OPTION_ARG_STRING, &options->data_centre,
      "Data centre", "NAME" },
    { "rack", 0, 0, G_OPTION_ARG_STRING, &options->rack,
      "Prefix of the rack names", "NAME" },
    { "per-rack", 0, 0, G_OPTION_ARG_INT, &options->per_rack,
      "Workers per rack", "N" },
    { "workers", 0, 0, G_OPTION_ARG_INT, &options->workers,
      "Workers in this process", "N" },
    { "executors", 0, 0, G_OPTION_ARG_INT, &options->executors,
      "Executors in this process", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &options->slots, "Slots per executor",
      "N" },
    { "accelerators", 0, 0, G_OPTION_ARG_INT, &options->accelerators,
      "Accelerators per worker", "N" },
    { "cores", 0, 0, G_OPTION_ARG_INT, &options->cores, "Cores per worker",
      "N" },
    { "memory-mb", 0, 0, G_OPTION_ARG_INT, &options->memory_mb,
      "Memory per worker", "MB" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (
      "kv|instances|worker|executor|relay|load - stand-ins of the platform");
  GError *parse_error = NULL;
  bool valid;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_group (context, gr_load_mode_options (standins->load));
  valid = g_option_context_parse (context, argc, argv, &parse_error);
  if (!valid)
    {
      fprintf (stderr, "geraniumrack-standin: %s\n", parse_error->message);
      g_error_free (parse_error);
    }
  g_option_context_free (context);
  return valid;
}

static gboolean
quit_loop (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

static void
run_until_stopped (struct standins *standins)
{
  if (standins->worker_process == NULL)
    g_unix_signal_add (SIGTERM, quit_loop, standins->loop);
  g_unix_signal_add (SIGINT, quit_loop, standins->loop);
  g_main_loop_run (standins->loop);
}

static void
standins_clear (struct standins *standins)
{
  gr_standin_kv_destroy (standins->kv);
  gr_standin_instances_destroy (standins->instances);
  g_ptr_array_unref (standins->relays);
  gr_load_mode_destroy (standins->load);
  gr_standin_platform_destroy (standins->platform);
  gr_standin_advice_destroy (standins->advice);
  gr_worker_process_destroy (standins->worker_process);
  g_main_loop_unref (standins->loop);
  g_ptr_array_unref (standins->workers);
  g_ptr_array_unref (standins->executors);
  g_free (standins->options.listen);
  g_free (standins->options.control);
  g_free (standins->options.target);
  g_free (standins->options.name);
  g_free (standins->options.data_centre);
  g_free (standins->options.rack);
  g_free (standins->options.instances_url);
  g_free (standins->options.advertised);
}

static void
relay_free (void *relay)
{
  gr_relay_destroy (relay);
}

static void
worker_free (void *worker)
{
  gr_standin_worker_destroy (worker);
}

static void
executor_free (void *executor)
{
  gr_standin_executor_destroy (executor);
}

int
main (int argc, char **argv)
{
  struct standins standins = {
    .options = {
      .listen = g_strdup ("127.0.0.1:0"),
      .control = g_strdup ("127.0.0.1:0"),
      .data_centre = g_strdup ("dc1"),
      .rack = g_strdup ("rack"),
      .paths = 1,
      .workers = 1,
      .executors = 1,
      .slots = 8,
      .per_rack = 8,
      .accelerators = 8,
      .cores = 130,
      .memory_mb = 250000,
    },
    .relays = g_ptr_array_new_with_free_func (relay_free),
    .workers = g_ptr_array_new_with_free_func (worker_free),
    .executors = g_ptr_array_new_with_free_func (executor_free),
    .load = gr_load_mode_create (),
    .loop = g_main_loop_new (NULL, FALSE),
  };
  struct gr_error error = GR_ERROR_INIT;
  int code = 2;

  if (parse_options (&standins, &argc, &argv))
    {
      if (start_mode (&standins, argc == 2 ? argv[1] : NULL, &error))
        {
          run_until_stopped (&standins);
          code = standins.exit_code;
        }
      else
        fprintf (stderr, "geraniumrack-standin: %s\n", error.message);
    }
  standins_clear (&standins);
  return code;
}
