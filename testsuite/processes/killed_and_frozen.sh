#!/usr/bin/env bash
# A scheduler and a gate are killed, others are frozen beyond their leases, and
# the log loses answers and becomes unavailable for 3 s. No request or task may
# run twice at the same time, no idempotency key may run twice, and every task
# must finish exactly once.
. "$(dirname "$0")/common.sh"
start_small_site 3 3
write_load_scenario 14 40 10 2
start_load
site_fault '{"log_lose_answers":0.2}'
sleep 2
kill -KILL "$(cat "$SITE_DIR/sched-0.pid")"
kill -KILL "$(cat "$SITE_DIR/gate-0.pid")"
sleep 1
kill -STOP "$(cat "$SITE_DIR/sched-1.pid")" "$(cat "$SITE_DIR/gate-1.pid")"
sleep 7
kill -CONT "$(cat "$SITE_DIR/sched-1.pid")" "$(cat "$SITE_DIR/gate-1.pid")"
site_fault '{"log_down":true}'
sleep 3
site_fault '{"log_down":false,"log_lose_answers":0}'
finish_load
expect_all_finished 80
expect_valid_answers
site_check
