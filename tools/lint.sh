#!/usr/bin/env bash
# Runs the format check, clang-tidy and cppcheck on all C files that git does not
# ignore.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.c' '*.h')
mapfile -t sources < <(printf '%s\n' "${all[@]}" | grep '\.c$')
clang-format --dry-run -Werror "${all[@]}"
if git grep -nE '^typedef (struct|enum|union)' -- '*.c' '*.h'; then
  echo "lint: typedefs of structs, enums and unions are not used here" >&2
  exit 1
fi
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build" 2>/dev/null
cppcheck --quiet --error-exitcode=1 --std=c11 --language=c -j "$(nproc)" \
  --enable=warning,portability --inline-suppr -I . \
  --suppressions-list=.cppcheck-suppressions "${sources[@]}"
