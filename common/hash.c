#include "common/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t
gr_hash_string (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

uint64_t
gr_hash_weight (const char *key, const char *member)
{
  return XXH3_64bits_withSeed (member, strlen (member), gr_hash_string (key));
}

int
gr_hash_choose (const char *key, const char *const *members, size_t count)
{
  int best = -1;
  uint64_t best_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = gr_hash_weight (key, members[i]);

      if (best < 0 || weight > best_weight)
        {
          best = (int)i;
          best_weight = weight;
        }
    }
  return best;
}
