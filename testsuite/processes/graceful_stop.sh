#!/usr/bin/env bash
# A gate and a scheduler are stopped under load, with a successor in place. No
# request in flight is cut off, and cells are handed over.
. "$(dirname "$0")/common.sh"
small_site 2 2
write_load 6 60 10 1
# Callers keep to the gate that stays; a direct caller is in flight at the other.
sed -i "s|^gates = .*|gates = $(site_list "${site_gates[1]}")|" "$SITE_DIR/load.toml"
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
need_all_batch 40
need_none_wrong
site_check
