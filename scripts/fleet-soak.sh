#!/usr/bin/env bash
# Plays runs of fleets of real nodes, one seed after the other, and prints the
# rules that were broken. Keeps the logs of runs that broke one. Exits with 1 if
# any did.
#   scripts/fleet-soak.sh SCENARIO FIRST_SEED RUNS [SECONDS [BUILD_DIR [PROGRAM]]]
set -uo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
  sed -n '2,5s/^# *//p' "$0" >&2
  exit 2
fi
scenario=$1
first=$2
runs=$3
seconds=${4:-40}
build=${5:-build}
program=${6:-$build/bin/hyssopspar-node}
logs=$(mktemp -d "${TMPDIR:-/tmp}/fleet-soak.XXXXXX")
broken=0
unplayed=0
for ((seed = first; seed < first + runs; ++seed)); do
  "$build/bin/fleet_soak" --program "$program" --scenario "$scenario" \
    --seed "$seed" --seconds "$seconds" --log-dir "$logs/$scenario-$seed"
  case $? in
    0) rm -rf "$logs/$scenario-$seed" ;;
    1) broken=$((broken + 1)) ;;
    *) unplayed=$((unplayed + 1)) ;;
  esac
done
echo "runs=$runs broken=$broken not-played=$unplayed logs=$logs"
rmdir "$logs" 2>/dev/null
[ $((broken + unplayed)) -eq 0 ]
