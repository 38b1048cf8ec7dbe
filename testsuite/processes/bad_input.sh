#!/usr/bin/env bash
# Invalid settings, options, configuration files and requests are refused with
# the documented exit codes, HTTP statuses and messages.
. "$(dirname "$0")/common.sh"

# expect_code CODE COMMAND...: runs COMMAND, whose output goes to out.txt, and
# fails unless it exits with CODE.
expect_code() {
  local expected=$1 actual=0
  shift
  "$@" >"$SITE_DIR/out.txt" 2>&1 || actual=$?
  [ "$actual" -eq "$expected" ] || { echo "exit code $actual, expected $expected: $*" >&2; cat "$SITE_DIR/out.txt"; return 1; }
}

# expect_status STATUS CURL_ARGUMENT...: fails unless the HTTP status is STATUS.
expect_status() {
  local expected=$1 actual
  shift
  actual=$(curl -s -o "$SITE_DIR/body.txt" -w '%{http_code}' "$@")
  [ "$actual" = "$expected" ] || { echo "HTTP status $actual, expected $expected: $*" >&2; return 1; }
}

for program in gate sched load standin; do
  expect_code 0 "$SITE_BIN/hyssopspar-$program" --help
  expect_code 0 "$SITE_BIN/hyssopspar-$program" --version
  expect_code 2 "$SITE_BIN/hyssopspar-$program"
  expect_code 2 "$SITE_BIN/hyssopspar-$program" --config "$SITE_DIR/none.toml"
  printf 'name = 5\nnonsense = true\nlog_level = "loud"\n' >"$SITE_DIR/bad.toml"
  expect_code 2 "$SITE_BIN/hyssopspar-$program" --config "$SITE_DIR/bad.toml"
  grep -q "bad.toml:2: nonsense: unknown key" "$SITE_DIR/out.txt"
done
expect_code 2 "$SITE_BIN/hyssopsparctl" nonsense
expect_code 2 "$SITE_BIN/hyssopsparctl" publish "$test_root/examples/consortium"
mkdir "$SITE_DIR/files"
printf 'name = "s"\n' >"$SITE_DIR/files/s.service.toml"
expect_code 2 "$SITE_BIN/hyssopsparctl" validate "$SITE_DIR/files"

start_small_site 1 1
gate="http://${site_gates[0]}"
sched="http://${site_scheds[0]}"
expect_status 404 -X POST -d x "$gate/v1/services/none/quotation"
expect_status 400 -X POST -d x "$gate/v1/services/ordering/quotation"
expect_status 400 -X POST -d x -H 'hyssopspar-tenant: taller-sur' "$gate/v1/services/ordering/casting-order"
head -c 2000000 /dev/zero >"$SITE_DIR/big"
expect_status 413 -X POST -H 'expect:' --data-binary "@$SITE_DIR/big" "$gate/v1/services/ordering/quotation"
expect_status 400 -X POST -d '{bad' "$sched/v1/jobs"
expect_status 404 -X POST -d '{"job":"none","key":"k"}' "$sched/v1/jobs"
expect_status 404 "$sched/v1/jobs/00000000000000aa"
expect_status 400 "$sched/v1/jobs/zz"
expect_status 200 "$gate/healthz"
expect_status 200 "$sched/metrics"
# Of two publishes on the same base revision, the second is refused as a
# conflict.
site_ctl publish "$test_root/examples/consortium" --base 1 >/dev/null
expect_code 1 site_ctl publish "$test_root/examples/consortium" --base 1
grep -q conflict "$SITE_DIR/out.txt"
