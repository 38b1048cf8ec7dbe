# Shared by the tests of real processes: a small site and its load.
#   Arguments of each test: BIN_DIR
set -euo pipefail
test_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
SITE_BIN=$1
SITE_DIR=$(mktemp -d)
SITE_SEED=7
SITE_SCALE=4
. "$test_root/scripts/site.sh"
trap 'status=$?; [ $status -eq 0 ] || tail -n 20 "$SITE_DIR"/*.log; site_stop_all; rm -rf "$SITE_DIR"; exit $status' EXIT

# small_site GATES SCHEDS: a quarter of the consortium's site.
small_site() {
  local domains=(montevideo canelones colonia maldonado) i address
  site_start_platform consortium
  for ((i = 0; i < $1; i++)); do site_add_gate "gate-$i" "${domains[$((i % 4))]}"; done
  for ((i = 0; i < $2; i++)); do site_add_sched "sched-$i" "${domains[$((i % 4))]}"; done
  site_ctl publish "$test_root/examples/consortium" >/dev/null
  for address in "${site_gates[@]}" "${site_scheds[@]}"; do site_ready "$address"; done
}

# write_load SECONDS QUOTES_PER_S ORDERS_PER_S JOBS
write_load() {
  {
    echo "gates = $(site_list "${site_gates[@]}")"
    echo "scheds = $(site_list "${site_scheds[@]}")"
    printf 'duration_ms = %d\nsettle_ms = 60000\nreport = "%s"\n' $(($1 * 1000)) "$SITE_DIR/report"
    printf '[[traffic]]\nservice = "ordering"\nclass = "quotation"\ntenant = "taller-norte"\nrate = %s\ntimeout_ms = 800\n' "$2"
    printf '[[traffic]]\nservice = "ordering"\nclass = "casting-order"\ntenant = "taller-sur"\nrate = %s\nkeyed = true\nrepeat = 0.5\ntimeout_ms = 2000\n' "$3"
    [ "$4" -eq 0 ] || printf '[[batch]]\njob = "mould"\ncount = %d\n' "$4"
  } >"$SITE_DIR/load.toml"
}

start_load() {
  "$SITE_BIN/hyssopspar-load" --config "$SITE_DIR/load.toml" >"$SITE_DIR/load.txt" &
  load_pid=$!
}

finish_load() {
  wait "$load_pid"
  cat "$SITE_DIR/load.txt"
}

# need_all_batch TASKS: every task finished.
need_all_batch() {
  grep -q "$1 of $1 tasks finished" "$SITE_DIR/load.txt" || { echo "batch not whole" >&2; return 1; }
}

# need_none_wrong: no answer was cut short or belonged to another request.
need_none_wrong() {
  ! grep -q '"whole":false' "$SITE_DIR/report/history.jsonl" || { echo "wrong answers" >&2; return 1; }
}
