#!/usr/bin/env bash
# Runs the script of a case: run-case.sh NUMBER TROUBLE; TROUBLE is 1, or 0 for a
# run without the disruption. Needs the build of the deploy file and
# review/build.sh.
set -u
cd "$(dirname "$0")/.."
node=target/bin/hyssopspar-node
driver=target/review/case-$1
if [ ! -x "$node" ] || [ ! -x "$driver" ]; then
  echo "not built: $node or $driver" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 118 "$driver" "$node" "review/$1/record.txt" "$folder" "$2"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
