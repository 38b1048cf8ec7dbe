#!/usr/bin/env bash
# Builds, then runs both example sites on loopback: urgent requests through
# several gates and batch jobs, while a failure domain is drained and restored.
# Prints the load report, the schedulers' status and the result of the
# platform's checks for each site; fails if no job ended.
#   scripts/demo.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
scripts/build.sh "$build" | tail -n 1
SITE_BIN="$PWD/$build/bin"
SITE_SEED=1
demo_dir=$(mktemp -d)
. scripts/site.sh
trap 'site_stop_all; rm -rf "$demo_dir"' EXIT

# demo_site USER SERVICE URGENT_CLASS KEYED_CLASS TENANT JOBS DOMAINS...
# Runs the site of examples/USER. Requests of KEYED_CLASS have an idempotency
# key; JOBS are the job names, separated by blanks; the first of DOMAINS is
# drained.
demo_site() {
  local user=$1 service=$2 urgent_class=$3 keyed_class=$4 tenant=$5 jobs=$6
  shift 6
  local domains=("$@") i job
  SITE_DIR="$demo_dir/$user"
  mkdir -p "$SITE_DIR"
  site_gates=() site_scheds=() site_peers=""
  site_start_platform "$user"
  for i in 0 1 2; do
    site_add_gate "gate-$i" "${domains[$((i % ${#domains[@]}))]}"
    site_add_sched "sched-$i" "${domains[$((i % ${#domains[@]}))]}"
  done
  site_ctl publish "examples/$user"
  local address
  for address in "${site_gates[@]}" "${site_scheds[@]}"; do site_wait_ready "$address"; done
  {
    echo "name = \"$user\""
    echo "gates = $(site_toml_array "${site_gates[@]}")"
    echo "scheds = $(site_toml_array "${site_scheds[@]}")"
    printf 'duration_ms = 12000\nsettle_ms = 40000\nreport = "%s"\n' "$SITE_DIR/report"
    printf '[[traffic]]\nservice = "%s"\nclass = "%s"\ntenant = "%s"\nrate = 250\ntimeout_ms = 800\n' \
      "$service" "$urgent_class" "$tenant"
    printf '[[traffic]]\nservice = "%s"\nclass = "%s"\ntenant = "%s"\nrate = 20\nkeyed = true\nrepeat = 0.3\ntimeout_ms = 3000\n' \
      "$service" "$keyed_class" "$tenant"
    for job in $jobs; do printf '[[batch]]\njob = "%s"\ncount = 2\n' "$job"; done
  } >"$SITE_DIR/load.toml"
  "$SITE_BIN/hyssopspar-load" --config "$SITE_DIR/load.toml" >"$SITE_DIR/load.txt" &
  local load_pid=$!
  sleep 4
  site_ctl drain "${domains[0]}"
  sleep 4
  site_ctl restore "${domains[0]}"
  wait "$load_pid"
  echo "== $user: ${domains[0]} taken out and brought back under load"
  cat "$SITE_DIR/load.txt"
  site_ctl status
  echo "platform's own records: $(site_check)"
  grep -q ' 0 ended' "$SITE_DIR/load.txt" && { echo "no job ended" >&2; return 1; }
  site_stop_all
}

demo_site consortium ordering quotation casting-order taller-norte "mould reproduction" \
  montevideo canelones colonia maldonado
demo_site paint kit-order shade-match invoice body-shops "formulation recall" \
  padova-nord vicenza-est treviso-sud
echo "demo: done"
