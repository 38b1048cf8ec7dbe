#!/usr/bin/env bash
# A gate and a scheduler receive SIGTERM under load while a second gate and a
# second scheduler keep running.
# The gate must finish its requests in flight, and the scheduler must hand over
# its cells.
. "$(dirname "$0")/common.sh"
start_small_site 2 2
write_load_scenario 6 60 10 1
# The load uses only the gate that keeps running; the requests in flight at the
# other gate are sent with curl.
sed -i "s|^gates = .*|gates = $(site_toml_array "${site_gates[1]}")|" "$SITE_DIR/load.toml"
start_load
for i in 1 2 3 4 5 6 7 8; do
  curl -fsS -o /dev/null -X POST -H 'hyssopspar-tenant: taller-norte' \
    -H 'hyssopspar-timeout-ms: 2000' -d quote \
    "http://${site_gates[0]}/v1/services/ordering/quotation" &
  calls+=($!)
done
site_stop gate-0
for call in "${calls[@]}"; do wait "$call"; done
grep -q 'stopped cut=0' "$SITE_DIR/gate-0.log"
site_stop sched-0
grep -q 'stopped handed_over=true' "$SITE_DIR/sched-0.log"
finish_load
expect_all_finished 40
expect_valid_answers
site_check
