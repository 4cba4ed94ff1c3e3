#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of the
# deploy file: the project's stand-ins and the programs of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/build.ninja ] || meson setup target --buildtype=release
ninja -C target standins/geraniumrack-standin instance/geraniumrack-instance
mkdir -p target/review-2
flags=$(pkg-config --cflags --libs glib-2.0 gio-2.0 libsoup-3.0 json-glib-1.0)
for number in 6 7 8 9 10; do
  source=review/$number/clients.c
  [ -f "$source" ] || continue
  # shellcheck disable=SC2086
  cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -I . \
    -o "target/review-2/case-$number" "$source" review/rig-2/process-cluster.c $flags
done
