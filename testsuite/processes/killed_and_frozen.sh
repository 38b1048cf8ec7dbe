#!/usr/bin/env bash
# A scheduler and a gate are killed, others frozen past their leases, the log
# goes down and loses answers. Nothing runs twice, every task ends.
. "$(dirname "$0")/common.sh"
small_site 3 3
write_load 14 40 10 2
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
need_all_batch 80
need_none_wrong
site_check
