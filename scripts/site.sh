# Functions that run one site on loopback: a stand-in platform, gates and
# schedulers, each a process of its own. To be sourced. All files are in
# SITE_DIR; processes are signalled by their ids only.
#
#   SITE_DIR    directory for settings, logs and port files
#   SITE_BIN    directory of the programs
#   SITE_SEED   seed of the stand-in platform
#   SITE_SCALE  divisor of the numbers of workers and endpoints (default 1)
#   SITE_RETENTION  records that the platform retains in each stream

# Ids of all started processes, addresses of gates and schedulers in the order
# of their start, and the address of the platform.
site_pids=()
site_gates=()
site_scheds=()
site_platform_address=""

# site_wait_for_file FILE: waits until FILE exists and has content, 10 s at
# most.
site_wait_for_file() {
  local tries=0
  until [ -s "$1" ]; do
    tries=$((tries + 1))
    [ "$tries" -le 500 ] || { echo "file missing or empty after 10 s: $1" >&2; return 1; }
    sleep 0.02
  done
}

# site_start_process NAME PROGRAM: starts PROGRAM with the settings in
# NAME.toml, writes its process id to NAME.pid and waits until it listens. Its
# log is NAME.log.
site_start_process() {
  rm -f "$SITE_DIR/$1.port"
  "$SITE_BIN/$2" --config "$SITE_DIR/$1.toml" --port-file "$SITE_DIR/$1.port" \
    2>>"$SITE_DIR/$1.log" &
  echo $! >"$SITE_DIR/$1.pid"
  site_pids+=($!)
  disown $!
  site_wait_for_file "$SITE_DIR/$1.port"
}

# site_start_platform USER: starts the stand-in platform with the failure
# domains and request classes of examples/USER. SITE_SCALE divides the numbers
# of workers and endpoints.
site_start_platform() {
  local scale="${SITE_SCALE:-1}" domain_spec # NAME:COUNT
  {
    echo "log_level = \"warn\""
    echo "seed = ${SITE_SEED:-1}"
    echo "retention_records = ${SITE_RETENTION:-100000}"
    if [ "$1" = consortium ]; then
      printf 'service = "ordering"\nrack_size = 6\n[worker]\ncpu_milli = 64000\nmemory_mib = 250000\n'
      for domain_spec in montevideo:13 canelones:13 colonia:12 maldonado:12; do
        printf '[[failure_domain]]\nname = "%s"\nworkers = %d\nendpoints = %d\n' \
          "${domain_spec%%:*}" $(((${domain_spec##*:} + scale - 1) / scale)) $(((${domain_spec##*:} + scale - 1) / scale))
      done
      printf '[[class]]\nname = "quotation"\nservice_ms = 30\n[[class]]\nname = "casting-order"\nservice_ms = 60\n'
    else
      printf 'service = "kit-order"\nrack_size = 11\n[worker]\ncpu_milli = 64000\nmemory_mib = 250000\n'
      for domain_spec in padova-nord:22 vicenza-est:22 treviso-sud:21; do
        printf '[[failure_domain]]\nname = "%s"\nworkers = %d\nendpoints = %d\n' \
          "${domain_spec%%:*}" $(((${domain_spec##*:} + scale - 1) / scale)) $(((${domain_spec##*:} + scale - 1) / scale))
      done
      printf '[[class]]\nname = "shade-match"\nservice_ms = 30\n[[class]]\nname = "invoice"\nservice_ms = 60\n'
    fi
  } >"$SITE_DIR/platform.toml"
  site_start_process platform hyssopspar-standin
  site_platform_address="127.0.0.1:$(cat "$SITE_DIR/platform.port")"
}

# site_free_port: prints a loopback port on which no process listens now.
site_free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 12000))
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || { echo "$port"; return; }
  done
}

# site_add_gate NAME FAILURE_DOMAIN [SETTING...]: starts a gate. SETTINGs are
# further lines of its settings file. Its peers are all gates added so far,
# including itself; site_peers lists their quoted addresses.
site_add_gate() {
  local name=$1 domain=$2 port peer_port
  shift 2
  port=$(site_free_port)
  peer_port=$(site_free_port)
  site_peers="${site_peers:-}${site_peers:+, }\"127.0.0.1:$peer_port\""
  {
    echo "name = \"$name\""
    echo "failure_domain = \"$domain\""
    echo "listen = \"127.0.0.1:$port\""
    echo "peer_listen = \"127.0.0.1:$peer_port\""
    echo "peers = [$site_peers]"
    echo "log_address = \"$site_platform_address\""
    echo "vm_list_address = \"$site_platform_address\""
    echo "notice_ms = 300"
    printf '%s\n' "$@"
  } >"$SITE_DIR/$name.toml"
  site_start_process "$name" hyssopspar-gate
  site_gates+=("127.0.0.1:$port")
}

# site_add_sched NAME FAILURE_DOMAIN [SETTING...]: starts a scheduler. SETTINGs
# are further lines of its settings file.
site_add_sched() {
  local name=$1 domain=$2 port
  shift 2
  port=$(site_free_port)
  {
    echo "name = \"$name\""
    echo "failure_domain = \"$domain\""
    echo "listen = \"127.0.0.1:$port\""
    echo "log_address = \"$site_platform_address\""
    echo "vm_list_address = \"$site_platform_address\""
    printf '%s\n' "$@"
  } >"$SITE_DIR/$name.toml"
  site_start_process "$name" hyssopspar-sched
  site_scheds+=("127.0.0.1:$port")
}

# site_wait_ready ADDRESS: waits until /readyz answers 200, for at most 400
# tries that are 50 ms apart (20 s).
site_wait_ready() {
  local tries=0
  until curl -fsS -o /dev/null "http://$1/readyz" 2>/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -le 400 ] || { echo "/readyz did not answer 200 within 20 s: $1" >&2; return 1; }
    sleep 0.05
  done
}

# site_ctl ARGUMENT...: runs hyssopsparctl with the addresses of this site.
site_ctl() {
  local sched_options=()
  local address
  for address in "${site_scheds[@]}"; do sched_options+=(--sched "$address"); done
  "$SITE_BIN/hyssopsparctl" "$@" --log "$site_platform_address" "${sched_options[@]}"
}

# site_fault JSON: injects faults into the stand-in platform, or ends them.
site_fault() {
  curl -fsS -o /dev/null -X POST -d "$1" "http://$site_platform_address/v1/faults"
}

# site_toml_array ADDRESS...: prints the addresses as a TOML array.
site_toml_array() {
  local items="" address
  for address in "$@"; do items="$items${items:+, }\"$address\""; done
  echo "[$items]"
}

# site_check: prints the platform's check of all attempts and requests that it
# recorded; fails on any violation.
site_check() {
  local answer
  answer=$(curl -fsS "http://$site_platform_address/v1/check")
  echo "$answer"
  [[ "$answer" == *'"violations":[]'* ]]
}

# site_stop NAME: sends SIGTERM to the process and waits until it has exited.
site_stop() {
  local pid
  pid=$(cat "$SITE_DIR/$1.pid")
  kill -TERM "$pid" 2>/dev/null || true
  while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
}

# site_stop_all: kills all processes that were started, also frozen ones, and
# waits until they have exited.
site_stop_all() {
  local pid
  for pid in "${site_pids[@]}"; do
    { kill -CONT "$pid" && kill -KILL "$pid"; } 2>/dev/null || true
  done
  for pid in "${site_pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.02; done
  done
  site_pids=()
  return 0
}
