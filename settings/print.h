/* The table of keys as text for people; see also gr_document_print_keys (). */
#pragma once

#include "settings/document.h"

/* Appends one Markdown table for each section of a kind. */
void gr_document_print_markdown (enum gr_document_kind kind, GString *out);
