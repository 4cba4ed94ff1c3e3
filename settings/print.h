/* The table of keys as text for people; see also gr_document_print_keys (). */
#pragma once

#include "settings/document.h"

/* Appends the whole page docs/settings.md. */
void gr_document_print_reference (GString *out);
