#!/usr/bin/env bash
# Prints, for the consortium example at full size with 7 gates and 7 schedulers:
# the time until a drain or restore is in force in every process, processor and
# memory use of an idle gate and scheduler, and the time until another scheduler
# owns the cell of a killed one.
#   scripts/measure.sh [BUILD_DIR [ROUNDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
rounds="${2:-5}"
SITE_BIN="$PWD/$build/bin"
SITE_DIR=$(mktemp -d)
SITE_SEED=1
. scripts/site.sh
trap 'site_stop_all; rm -rf "$SITE_DIR"' EXIT
domains=(montevideo canelones colonia maldonado)
site_start_platform consortium
for ((i = 0; i < 7; i++)); do
  site_add_gate "gate-$i" "${domains[$((i % 4))]}" 'log_level = "warn"'
  site_add_sched "sched-$i" "${domains[$((i % 4))]}"
done
site_ctl publish examples/consortium >/dev/null
for address in "${site_gates[@]}" "${site_scheds[@]}"; do site_wait_ready "$address"; done
now_ms() { date +%s%3N; }

# metric ADDRESS NAME: prints the metric's value, or 0 if it is absent.
metric() {
  curl -s "http://$1/metrics" | awk -v n="$2" '$1 == n {print $2; found = 1} END {if (!found) print 0}'
}

revision=1
for ((round = 0; round < rounds; round++)); do
  start=$(now_ms)
  if [ $((round % 2)) -eq 0 ]; then site_ctl drain colonia >/dev/null; else site_ctl restore colonia >/dev/null; fi
  revision=$((revision + 1))
  for address in "${site_gates[@]}"; do
    until [ "$(metric "$address" hyssopspar_gate_revision)" -ge "$revision" ]; do :; done
  done
  for address in "${site_scheds[@]}"; do
    until [ "$(metric "$address" hyssopspar_sched_revision)" -ge "$revision" ]; do :; done
  done
  echo "time to force on 14 processes: $(($(now_ms) - start)) ms"
done
site_ctl restore colonia >/dev/null

sleep 8 # Time for the cells to move to their preferred owners.
declare -A cpu_ticks # User and system time in clock ticks.
for name in gate-0 sched-0; do
  cpu_ticks[$name]=$(awk '{print $14 + $15}' "/proc/$(cat "$SITE_DIR/$name.pid")/stat")
done
sleep 10
for name in gate-0 sched-0; do
  pid=$(cat "$SITE_DIR/$name.pid")
  used_ticks=$(($(awk '{print $14 + $15}' "/proc/$pid/stat") - ${cpu_ticks[$name]}))
  echo "idle $name: $(awk -v t="$used_ticks" -v hz="$(getconf CLK_TCK)" 'BEGIN {printf "%.2f", 100 * t / hz / 10}') % of a core, $(awk '/VmRSS/ {print int($2 / 1024)}' "/proc/$pid/status") MB resident"
done

for ((round = 0; round < 3; round++)); do
  owner=""
  for ((i = 0; i < 7; i++)); do
    [ -n "${site_scheds[$i]}" ] || continue
    if [ "$(metric "${site_scheds[$i]}" 'hyssopspar_cell_owned{cell="montevideo.0"}')" = 1 ]; then owner=$i; fi
  done
  start=$(now_ms)
  kill -KILL "$(cat "$SITE_DIR/sched-$owner.pid")"
  site_scheds[$owner]=""
  new_owner=""
  while [ -z "$new_owner" ]; do
    for address in "${site_scheds[@]}"; do
      [ -n "$address" ] || continue
      if [ "$(metric "$address" 'hyssopspar_cell_owned{cell="montevideo.0"}')" = 1 ]; then new_owner=$address; fi
    done
  done
  echo "takeover after kill -9: $(($(now_ms) - start)) ms"
  sleep 8
done
