#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/instance/geraniumrack-instance ] || exit 2
timeout -k 1 118 python3 "$folder/case.py"
code=$?
[ $code -le 2 ] || code=2
exit $code
