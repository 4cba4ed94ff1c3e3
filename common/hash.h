/* Hashing of keys, and rendezvous (highest random weight) hashing. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/* Returns the XXH3 hash of a string. It must be the same on every instance and
 * in every release, because it locates key pages in the store. */
uint64_t gr_hash_string (const char *text);

/* Returns the weight of member for key. */
uint64_t gr_hash_weight (const char *key, const char *member);

/* Returns the index of the member with the highest weight for key, or -1 if
 * count is 0. */
int gr_hash_choose (const char *key, const char *const *members, size_t count);
