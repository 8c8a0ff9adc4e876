#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 target/review-2/pending_jobs "$here/record.txt" "$folder" "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
