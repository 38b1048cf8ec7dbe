#!/usr/bin/env bash
# Quotes, orders and a batch job run through separate processes while a failure
# domain is drained and restored. All tasks finish, all answers are valid, and
# the usage of workers and the gates' latency metric are reported.
# grep reads its whole input: with -q it may end first, which fails its writer.
. "$(dirname "$0")/common.sh"
start_small_site 2 2
write_load_scenario 6 60 10 1
start_load
site_ctl drain montevideo
site_ctl config | grep "montevideo out of service" >/dev/null
site_ctl restore montevideo
finish_load
curl -fsS "http://$site_platform_address/v1/workers/w-canelones-0/usage" | grep '"age_ms"' >/dev/null
expect_all_finished 40
expect_valid_answers
site_check
for address in "${site_gates[@]}"; do
  curl -fsS "http://$address/metrics" | grep hyssopspar_gate_latency_seconds_count >/dev/null
done
