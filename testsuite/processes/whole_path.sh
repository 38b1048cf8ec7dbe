#!/usr/bin/env bash
# Quotes, orders and a batch job run through separate processes while a failure
# domain is drained and restored. All tasks finish, all answers are valid, and
# the usage of workers and the gates' latency metric are reported.
. "$(dirname "$0")/common.sh"
start_small_site 2 2
write_load_scenario 6 60 10 1
start_load
site_ctl drain montevideo
site_ctl config | grep -q "montevideo out of service"
site_ctl restore montevideo
finish_load
curl -fsS "http://$site_platform_address/v1/workers/w-canelones-0/usage" | grep -q '"age_ms"'
expect_all_finished 40
expect_valid_answers
site_check
for address in "${site_gates[@]}"; do
  curl -fsS "http://$address/metrics" | grep -q hyssopspar_gate_latency_seconds_count
done
