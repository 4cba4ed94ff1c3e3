/* Prints the reference of all settings; gr_document_print_keys () prints sample
 * documents. */
#pragma once

#include "settings/document.h"

/* Appends the content of docs/settings.md. */
void gr_document_print_reference (GString *out);
