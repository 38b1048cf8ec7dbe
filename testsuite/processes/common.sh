# Functions shared by the process tests: a small site, load on it, and checks of
# the results. To be sourced by a test script, whose argument is BIN_DIR, the
# directory of the programs. When a test fails, the ends of all logs are
# printed.
set -euo pipefail
test_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
SITE_BIN=$1
SITE_DIR=$(mktemp -d)
SITE_SEED=7
SITE_SCALE=4
. "$test_root/scripts/site.sh"
trap 'status=$?; [ $status -eq 0 ] || tail -n 20 "$SITE_DIR"/*.log; site_stop_all; rm -rf "$SITE_DIR"; exit $status' EXIT

# start_small_site GATES SCHEDS: starts the consortium example with a quarter of
# its workers and endpoints, publishes its configuration and waits until all
# gates and schedulers are ready.
start_small_site() {
  local domains=(montevideo canelones colonia maldonado) i address
  site_start_platform consortium
  for ((i = 0; i < $1; i++)); do site_add_gate "gate-$i" "${domains[$((i % 4))]}"; done
  for ((i = 0; i < $2; i++)); do site_add_sched "sched-$i" "${domains[$((i % 4))]}"; done
  site_ctl publish "$test_root/examples/consortium" >/dev/null
  for address in "${site_gates[@]}" "${site_scheds[@]}"; do site_wait_ready "$address"; done
}

# write_load_scenario SECONDS QUOTES_PER_S ORDERS_PER_S JOBS: writes the load
# scenario. Quotes are urgent; orders have an idempotency key, and half of them
# are repeated.
write_load_scenario() {
  {
    echo "gates = $(site_toml_array "${site_gates[@]}")"
    echo "scheds = $(site_toml_array "${site_scheds[@]}")"
    printf 'duration_ms = %d\nsettle_ms = 60000\nreport = "%s"\n' $(($1 * 1000)) "$SITE_DIR/report"
    printf '[[traffic]]\nservice = "ordering"\nclass = "quotation"\ntenant = "taller-norte"\nrate = %s\ntimeout_ms = 800\n' "$2"
    printf '[[traffic]]\nservice = "ordering"\nclass = "casting-order"\ntenant = "taller-sur"\nrate = %s\nkeyed = true\nrepeat = 0.5\ntimeout_ms = 2000\n' "$3"
    [ "$4" -eq 0 ] || printf '[[batch]]\njob = "mould"\ncount = %d\n' "$4"
  } >"$SITE_DIR/load.toml"
}

# start_load: starts the load in the background.
start_load() {
  "$SITE_BIN/hyssopspar-load" --config "$SITE_DIR/load.toml" >"$SITE_DIR/load.txt" &
  load_pid=$!
}

# finish_load: waits for the load and prints its report; fails if the load
# program failed.
finish_load() {
  wait "$load_pid"
  cat "$SITE_DIR/load.txt"
}

# expect_all_finished TASKS: fails unless all TASKS tasks finished.
expect_all_finished() {
  grep -q "$1 of $1 tasks finished" "$SITE_DIR/load.txt" || { echo "load.txt: expected $1 of $1 tasks finished" >&2; return 1; }
}

# expect_valid_answers: fails if an answer was cut short or belonged to another
# request.
expect_valid_answers() {
  ! grep -q '"whole":false' "$SITE_DIR/report/history.jsonl" || { echo "history.jsonl: found incomplete or foreign answers" >&2; return 1; }
}
