/* Registration of a stand-in in the instance list. */
#pragma once

#include "http/http.h"

/* Sends PUT LIST_URL/v1/instances/NAME and retries until it succeeds. Returns
 * NULL if list_url is NULL. Free the result with gr_registration_destroy (). */
struct gr_registration *gr_registration_create (const char *list_url,
                                                const char *name,
                                                const char *role,
                                                const char *data_centre,
                                                const char *address);

/* Does not remove the instance from the list. registration may be NULL. */
void gr_registration_destroy (struct gr_registration *registration);

/* Updates the "leaving" flag of the instance in the list. registration may be
 * NULL. */
void gr_registration_set_leaving (struct gr_registration *registration,
                                  bool leaving);
