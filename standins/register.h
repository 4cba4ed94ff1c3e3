/* Registration of a stand-in's target in the instance list. */
#pragma once

#include "http/http.h"

/* PUT URL/v1/instances/NAME; repeated until it succeeds. The result is to be
 * destroyed, which does not remove the instance from the list. NULL if
 * list_url is NULL. */
struct gr_registration *gr_registration_create (const char *list_url,
                                                const char *name,
                                                const char *role,
                                                const char *data_centre,
                                                const char *address);
void gr_registration_destroy (struct gr_registration *registration);

/* Writes the instance again with this flag. registration may be NULL. */
void gr_registration_set_leaving (struct gr_registration *registration,
                                  bool leaving);
