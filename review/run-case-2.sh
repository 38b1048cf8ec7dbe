#!/usr/bin/env bash
# Runs the case with the number $1, after the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.."
program="target/bin/hyssopspar-node"
case_program="target/review-2/$1/case"
[ -x "$program" ] && [ -x "$case_program" ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
rm -f "review/$1/record.txt"
# The case ends its nodes; if it is ended itself, the kernel does. timeout passes
# a signal on to it.
timeout -k 2 115 "$case_program" "$program" "review/$1/record.txt" "$folder" \
  "${TROUBLE:-1}" &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' HUP INT TERM
wait "$child"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
