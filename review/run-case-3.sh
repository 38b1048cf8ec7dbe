#!/usr/bin/env bash
# Plays the scripted case in the folder FOLDER: review/run-case-3.sh FOLDER.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
set -u
folder="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
program="$root/target/bin/hyssopspar-node"
case_program="$root/build-review-3/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$case_program" ] || exit 2
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -s KILL 118 "$case_program" "$program" "$folder/record.txt" \
  "$temporary" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
