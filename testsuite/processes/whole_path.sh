#!/usr/bin/env bash
# Requests, orders and a job through separate processes; a failure domain is
# taken out and brought back meanwhile.
. "$(dirname "$0")/common.sh"
small_site 2 2
write_load 6 60 10 1
start_load
site_ctl drain montevideo
site_ctl config | grep -q "montevideo out of service"
site_ctl restore montevideo
finish_load
curl -fsS "http://$site_platform/v1/workers/w-canelones-0/usage" | grep -q '"age_ms"'
need_all_batch 40
need_none_wrong
site_check
for address in "${site_gates[@]}"; do
  curl -fsS "http://$address/metrics" | grep -q hyssopspar_gate_latency_seconds_count
done
