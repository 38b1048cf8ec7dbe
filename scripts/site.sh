# Functions that run one site on loopback: a stand-in platform, gates and
# schedulers, each a process of its own. Source it; it keeps everything in
# SITE_DIR and knows processes by their ids.
#
#   SITE_DIR    directory for settings, logs and port files
#   SITE_BIN    directory of the programs
#   SITE_SEED   seed of the stand-in platform

site_pids=()
site_gates=()
site_scheds=()
site_platform=""

# site_wait_file FILE: waits until FILE is there, ten seconds at most.
site_wait_file() {
  local tries=0
  until [ -s "$1" ]; do
    tries=$((tries + 1))
    [ "$tries" -le 500 ] || { echo "missing: $1" >&2; return 1; }
    sleep 0.02
  done
}

# site_run NAME PROGRAM: starts PROGRAM on NAME.toml; its id goes to NAME.pid.
site_run() {
  rm -f "$SITE_DIR/$1.port"
  "$SITE_BIN/$2" --config "$SITE_DIR/$1.toml" --port-file "$SITE_DIR/$1.port" \
    2>>"$SITE_DIR/$1.log" &
  echo $! >"$SITE_DIR/$1.pid"
  site_pids+=($!)
  disown $!
  site_wait_file "$SITE_DIR/$1.port"
}

# site_platform USER: the stand-in with the user's sizes. SITE_SCALE divides
# the number of workers and endpoints.
site_start_platform() {
  local scale="${SITE_SCALE:-1}"
  {
    echo "log_level = \"warn\""
    echo "seed = ${SITE_SEED:-1}"
    echo "retention_records = ${SITE_RETENTION:-100000}"
    if [ "$1" = consortium ]; then
      printf 'service = "ordering"\nrack_size = 6\n[worker]\ncpu_milli = 64000\nmemory_mib = 250000\n'
      for d in montevideo:13 canelones:13 colonia:12 maldonado:12; do
        printf '[[failure_domain]]\nname = "%s"\nworkers = %d\nendpoints = %d\n' \
          "${d%%:*}" $(((${d##*:} + scale - 1) / scale)) $(((${d##*:} + scale - 1) / scale))
      done
      printf '[[class]]\nname = "quotation"\nservice_ms = 30\n[[class]]\nname = "casting-order"\nservice_ms = 60\n'
    else
      printf 'service = "kit-order"\nrack_size = 11\n[worker]\ncpu_milli = 64000\nmemory_mib = 250000\n'
      for d in padova-nord:22 vicenza-est:22 treviso-sud:21; do
        printf '[[failure_domain]]\nname = "%s"\nworkers = %d\nendpoints = %d\n' \
          "${d%%:*}" $(((${d##*:} + scale - 1) / scale)) $(((${d##*:} + scale - 1) / scale))
      done
      printf '[[class]]\nname = "shade-match"\nservice_ms = 30\n[[class]]\nname = "invoice"\nservice_ms = 60\n'
    fi
  } >"$SITE_DIR/platform.toml"
  site_run platform hyssopspar-standin
  site_platform="127.0.0.1:$(cat "$SITE_DIR/platform.port")"
}

# site_free_port: a port of loopback that nobody listens on now.
site_free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 12000))
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || { echo "$port"; return; }
  done
}

# site_add_gate NAME FAILURE_DOMAIN [SETTING...]: extra lines go into the file.
site_add_gate() {
  local name=$1 domain=$2 port peer
  shift 2
  port=$(site_free_port)
  peer=$(site_free_port)
  site_peers="${site_peers:-}${site_peers:+, }\"127.0.0.1:$peer\""
  {
    echo "name = \"$name\""
    echo "failure_domain = \"$domain\""
    echo "listen = \"127.0.0.1:$port\""
    echo "peer_listen = \"127.0.0.1:$peer\""
    echo "peers = [$site_peers]"
    echo "log_address = \"$site_platform\""
    echo "vm_list_address = \"$site_platform\""
    echo "notice_ms = 300"
    printf '%s\n' "$@"
  } >"$SITE_DIR/$name.toml"
  site_run "$name" hyssopspar-gate
  site_gates+=("127.0.0.1:$port")
}

# site_add_sched NAME FAILURE_DOMAIN [SETTING...]
site_add_sched() {
  local name=$1 domain=$2 port
  shift 2
  port=$(site_free_port)
  {
    echo "name = \"$name\""
    echo "failure_domain = \"$domain\""
    echo "listen = \"127.0.0.1:$port\""
    echo "log_address = \"$site_platform\""
    echo "vm_list_address = \"$site_platform\""
    printf '%s\n' "$@"
  } >"$SITE_DIR/$name.toml"
  site_run "$name" hyssopspar-sched
  site_scheds+=("127.0.0.1:$port")
}

# site_ready ADDRESS: waits until /readyz answers 200, twenty seconds at most.
site_ready() {
  local tries=0
  until curl -fsS -o /dev/null "http://$1/readyz" 2>/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -le 400 ] || { echo "not ready: $1" >&2; return 1; }
    sleep 0.05
  done
}

# site_ctl ARGUMENT...: the operators' command line on this site.
site_ctl() {
  local scheds=()
  local s
  for s in "${site_scheds[@]}"; do scheds+=(--sched "$s"); done
  "$SITE_BIN/hyssopsparctl" "$@" --log "$site_platform" "${scheds[@]}"
}

# site_fault JSON: sets a fault of the stand-in platform.
site_fault() {
  curl -fsS -o /dev/null -X POST -d "$1" "http://$site_platform/v1/faults"
}

# site_list ADDRESS...: the addresses as a TOML array.
site_list() {
  local out="" a
  for a in "$@"; do out="$out${out:+, }\"$a\""; done
  echo "[$out]"
}

# site_check: the platform's own records; fails on any violation.
site_check() {
  local answer
  answer=$(curl -fsS "http://$site_platform/v1/check")
  echo "$answer"
  [[ "$answer" == *'"violations":[]'* ]]
}

# site_stop NAME: graceful stop of one process, waiting for its end.
site_stop() {
  local pid
  pid=$(cat "$SITE_DIR/$1.pid")
  kill -TERM "$pid" 2>/dev/null || true
  while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
}

# site_stop_all: ends everything that was started.
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
