/* Hashing of keys and rendezvous (highest random weight) choice. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/* XXH3 of a string, the same on every instance and in every release: key
 * pages in the store are found by it. */
uint64_t gr_hash_string (const char *text);

/* Weight of member for key; the member with the highest weight is chosen. */
uint64_t gr_hash_weight (const char *key, const char *member);

/* Index of the member with the highest weight, or -1 if count is 0. */
int gr_hash_choose (const char *key, const char *const *members, size_t count);
