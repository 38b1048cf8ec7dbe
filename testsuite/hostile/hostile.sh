#!/usr/bin/env bash
# A gate or a scheduler withstands hostile clients, or hostile answers of the
# platform: hostile.sh BIN_DIR gate|sched KIND
. "$(dirname "$0")/../processes/common.sh"
program=$2
kind=$3
crowd="$SITE_BIN/hostile_crowd"
limits=$("$crowd" --settings)

# start_relay ADDRESS: starts a server of hostile answers in place of ADDRESS.
start_relay() {
  "$crowd" --relay-to "$1" --kind "$kind" --port-file "$SITE_DIR/relay.port" &
  site_pids+=($!)
  disown $!
  site_wait_for_file "$SITE_DIR/relay.port"
  site_platform_address="127.0.0.1:$(cat "$SITE_DIR/relay.port")"
}

site_start_platform consortium
platform=$site_platform_address
site_ctl publish "$test_root/examples/consortium" >/dev/null
case $kind in endless-*) start_relay "$platform" ;; esac
if [ "$program" = gate ]; then
  site_add_gate gate-0 montevideo "$limits"
  request=(--address "${site_gates[0]}" --line "POST /v1/services/ordering/quotation"
    --header "hyssopspar-tenant: taller-norte" --header "hyssopspar-timeout-ms: 2000" --body x)
else
  site_add_sched sched-0 montevideo "$limits"
  request=(--address "${site_scheds[0]}" --line "POST /v1/jobs" --body '{"job":"mould","key":"k"}' --status 202)
fi
case $kind in
  endless-*)
    site_wait_for_file "$SITE_DIR/relay.port.relaying"
    attack=none
    ;;
  *)
    site_wait_ready "${request[1]}"
    attack=$kind
    ;;
esac
"$crowd" --kind "$attack" --pid "$(cat "$SITE_DIR/$program-0.pid")" --header "host: a" "${request[@]}"
