#!/usr/bin/env bash
# Compares routing policies on the consortium example at full size: 7 gates and
# 50 endpoints of 8 slots, each gate a process of its own. Prints a Markdown
# table with one row for each policy, load, number of slow endpoints and seed.
#   scripts/experiment.sh [BUILD_DIR [SECONDS [SEEDS]]]
#   HYSSOPSPAR_POLICIES   policies to compare, separated by blanks
#   HYSSOPSPAR_CASES      LOAD_PERCENT:SLOW_ENDPOINTS, separated by blanks
# The mean service time is raised to 100 ms, so that 100 % of the endpoints'
# capacity is 4000 requests a second, which one machine can generate and route.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
seconds="${2:-8}"
seeds="${3:-1}"
SITE_BIN="$PWD/$build/bin"
root_dir=$(mktemp -d)
. scripts/site.sh
trap 'site_stop_all; rm -rf "$root_dir"' EXIT

# run_case POLICY LOAD_PERCENT SLOW SEED: prints one row. SLOW endpoints take
# three times the service time.
run_case() {
  local policy=$1 load_percent=$2 slow_count=$3 seed=$4 i address
  local domains=(montevideo canelones colonia maldonado)
  SITE_DIR="$root_dir/$policy-$load_percent-$slow_count-$seed"
  SITE_SEED=$seed
  mkdir -p "$SITE_DIR"
  site_gates=() site_scheds=() site_peers=""
  site_start_platform consortium
  # Restarts the platform with the longer service time.
  site_stop platform
  sed -i 's/service_ms = 30/service_ms = 100/' "$SITE_DIR/platform.toml"
  site_start_process platform hyssopspar-standin
  site_platform_address="127.0.0.1:$(cat "$SITE_DIR/platform.port")"
  cp -r examples/consortium "$SITE_DIR/config"
  sed -i 's/expected_ms = 30/expected_ms = 100/' "$SITE_DIR/config/ordering/ordering.service.toml"
  for ((i = 0; i < 7; i++)); do
    site_add_gate "gate-$i" "${domains[$((i % 4))]}" "policy = \"$policy\"" 'log_level = "warn"'
  done
  "$SITE_BIN/hyssopsparctl" publish "$SITE_DIR/config" --log "$site_platform_address" >/dev/null
  for address in "${site_gates[@]}"; do site_wait_ready "$address"; done
  local slow_left=$slow_count
  for i in 0 1 2 3 4 5 6 7 8 9 10 11; do
    for domain in montevideo canelones colonia maldonado; do
      [ "$slow_left" -gt 0 ] || break 2
      site_fault "{\"vm\":\"e-$domain-$i\",\"slowdown\":3}"
      slow_left=$((slow_left - 1))
    done
  done
  {
    echo "gates = $(site_toml_array "${site_gates[@]}")"
    printf 'name = "%s"\nduration_ms = %d\nseed = %d\nreport = "%s"\n' "$policy" $((seconds * 1000)) "$seed" "$SITE_DIR/report"
    printf '[[traffic]]\nservice = "ordering"\nclass = "quotation"\ntenant = "taller-norte"\nrate = %d\ntimeout_ms = 1500\n' $((load_percent * 40))
  } >"$SITE_DIR/load.toml"
  "$SITE_BIN/hyssopspar-load" --config "$SITE_DIR/load.toml" >/dev/null
  awk -F, -v p="$policy" -v l="$load_percent" -v s="$slow_count" -v seed="$seed" -v sec="$seconds" \
    '/^taller/ {printf "| %s | %s %% | %s | %s | %s | %.0f | %s | %s | %s | %s | %s |\n", p, l, s, seed, $3, $4/sec, $5, $6, $10, $11, $12}' \
    "$SITE_DIR/report/figures.csv"
  site_check >/dev/null || echo "| violation | | | | | | | | | | |"
  site_stop_all
}

echo "| policy | load | slow endpoints | seed | sent | answered/s | not-run | unknown | p50 ms | p99 ms | p99.9 ms |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for seed in $(seq 1 "$seeds"); do
  for policy in ${HYSSOPSPAR_POLICIES:-prediction two-choices own-count in-turn}; do
    for case in ${HYSSOPSPAR_CASES:-70:0 70:8 95:0 200:0}; do
      run_case "$policy" "${case%%:*}" "${case##*:}" "$seed"
    done
  done
done
