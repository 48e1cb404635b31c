# Functions of the scripts of this review. A script sets $here to its folder and
# $trouble to TROUBLE, and sources this file. It needs the build of the deploy
# file (target/) and review/build-2.sh.

root=$(cd "$here/../.." && pwd)
daemon=$root/target/apps/cornelrudderd
standin=$root/build-review-2/standin
record=$here/record.txt
work=$(mktemp -d)
declare -A pid_of
: >"$record"

finish() {
  local code=$? name
  exec 2>/dev/null
  for name in "${!pid_of[@]}"; do
    kill -CONT "${pid_of[$name]}" 2>/dev/null || true
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -f "$work/platform.log" ]; then
    {
      echo
      echo "== seen by the platform and its workers (seconds from its start) =="
      cat "$work/platform.log"
    } >>"$record"
  fi
  if [ "${KEEP_LOGS:-}" ]; then echo "logs: $work"; else rm -rf "$work"; fi
  exit "$code"
}
trap finish EXIT
trap 'exit 2' INT TERM

note() { echo "$(date +%T.%3N) $*" | tee -a "$record"; }
cannot_run() {
  note "cannot run: $*"
  exit 2
}
broken() {
  note "BROKEN: $*"
  exit 1
}
held() {
  note "held: $*"
  exit 0
}

# Starts the store and workers. Usage: start_platform WORKERS
start_platform() {
  [ -x "$daemon" ] && [ -x "$standin" ] ||
    cannot_run "build the deploy file and run review/build-2.sh first"
  "$standin" serve "$work" "$1" >"$work/platform.log" 2>&1 &
  pid_of[platform]=$!
  for _ in $(seq 100); do
    [ -s "$work/store" ] && break
    sleep 0.1
  done
  [ -s "$work/store" ] || cannot_run "the stand-in did not start"
  sleep 0.1
  store=$(cat "$work/store")
  control=$(cat "$work/control")
}

# Writes the settings of daemon N as deploy/daemon.toml.template has them.
write_settings() {
  cat >"$work/daemon-$1.toml" <<TOML
[daemon]
id = "client_facing-zone-1-$1"
region = "region-1"
zone = "zone-1"
http_address = "${address[$1]:-127.0.0.1:0}"
readiness_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"
cpu_share = 0.25
link_mbps = 1000.0

[platform]
kind = "fleet"
address = "$store"
row_bytes = 65536

[timing]
drain_notice_ms = 2500
drain_grace_ms = 2500
store_timeout_ms = 800

[scheduling]
worker_report_ms = 1500
worker_max_lease_ms = 6000
TOML
}

declare -A address
boots=0
# Starts daemon N; it keeps its address over its restarts.
start_daemon() {
  local n=$1 log
  write_settings "$n"
  boots=$((boots + 1))
  log=$work/daemon-$n.$boots.log
  "$daemon" --config "$work/daemon-$n.toml" >"$log" 2>&1 &
  pid_of[daemon-$n]=$!
  for _ in $(seq 100); do
    address[$n]=$(sed -n 's/.*name=started http=\([0-9.:]*\).*/\1/p' "$log" | head -n 1)
    [ -n "${address[$n]}" ] && return
    sleep 0.05
  done
  cannot_run "daemon $n did not start"
}

kill_daemon() {
  { kill -KILL "${pid_of[daemon-$1]}"
    wait "${pid_of[daemon-$1]}"; } 2>/dev/null || true
}

# Sends a call of a caller, with the usual retries at the other daemons after
# no answer, 502, 503 and 504. Sets $status and $body. The daemons are 1, 2, 3.
# Usage: call METHOD PATH [BODY]
call() {
  local attempt n reply
  for attempt in 1 2 3 4 5; do
    n=$((attempt % 3 + 1))
    reply=$("$standin" call "${address[$n]}" "$1" "$2" "${3:-}" 3000)
    status=${reply%% *}
    body=${reply#* }
    echo "$(date +%T.%3N) $1 $2 at daemon $n: $reply" >>"$record"
    case $status in 000 | 502 | 503 | 504) sleep 0.5 ;; *) return ;; esac
  done
}

control() { "$standin" call "$control" POST "$1" >/dev/null; }
# Prints the number of subtasks of a job that run on the workers.
running() { "$standin" call "$control" GET /state | grep -o "$1\." | wc -l; }
# Prints the worker that runs a subtask.
worker_of() {
  "$standin" call "$control" GET /state | grep -o "\"[0-9]*\":\[[^]]*\"$1\"" |
    sed 's/^"\([0-9]*\)".*/\1/'
}
