#!/usr/bin/env bash
# Installs the Debian packages listed in packages.txt. Does nothing if all are
# installed, so that it also works without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done < packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
run=()
[ "$(id -u)" = 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
