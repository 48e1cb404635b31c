#!/usr/bin/env bash
# Plays crowds of clients that misbehave against a daemon on loopback addresses.
# For each crowd: a new daemon; while the crowd is open, the daemon's memory and
# descriptors stay under a bound; afterwards, it lives, and a job that is
# submitted then ends "done". Nothing that is checked depends on the machine's
# speed.
# Usage: scripts/client_crowds.sh [CROWD...]
# CROWD_DAEMON: path of the daemon.
# CROWD_PLAIN_SETTINGS: if set, the settings have no section http, which earlier
#   versions do not know.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
daemon=${CROWD_DAEMON:-$build/apps/cornelrudderd}
max_growth_mb=32
# 150 connections of a listener, some of the store and the workers.
max_more_descriptors=220
hold_seconds=30
. scripts/cluster.sh

job=/q0/00000000000000aa
# NAME KIND LISTENER PATH CONNECTIONS
crowds="
unfinished-bodies unfinished-bodies callers $job 400
small-pieces small-pieces callers $job 400
chunks chunks callers $job 400
huge-bodies huge-bodies callers $job 400
huge-chunks huge-chunks callers $job 400
header-fields header-fields callers $job 1000
json-fields json-fields callers $job 400
requests-ahead requests-ahead callers $job 400
slow-senders slow-senders callers $job 400
slow-readers slow-readers callers $job 400
half-heads half-heads callers $job 400
unknown-path unfinished-bodies callers /no/such/path 400
readiness-bodies unfinished-bodies readiness /v1/readyz 400
readiness-fields header-fields readiness /v1/readyz 1000
readiness-ahead requests-ahead readiness /v1/readyz 400
metrics-bodies unfinished-bodies metrics /metrics 400
"

write_daemon() {
  address_of_name[readiness]=$("$build/tests/client_crowd" free-address)
  address_of_name[metrics]=$("$build/tests/client_crowd" free-address)
  cat >"$work/daemon.toml" <<TOML
[daemon]
id = "daemon"
region = "region-1"
zone = "zone-1"
http_address = "127.0.0.1:0"
readiness_address = "${address_of_name[readiness]}"
metrics_address = "${address_of_name[metrics]}"

[platform]
kind = "fleet"
address = "${address_of_name[gate]}"

[scheduling]
worker_report_ms = 1000
TOML
  [ "${CROWD_PLAIN_SETTINGS:-}" ] || cat >>"$work/daemon.toml" <<TOML

[http]
memory_mb = 8
max_connections = 150
TOML
}

status_mb() { awk -v key="$1:" '$1 == key {print int($2 / 1024)}' "/proc/${pid_of[daemon]}/status"; }
count_descriptors() { ls "/proc/${pid_of[daemon]}/fd" | wc -l; }
is_ready() { curl -sf -m 5 "http://${address_of_name[readiness]}/v1/readyz" >/dev/null; }
# Prints the status of a call about a job. Usage: call METHOD ID [BODY]
call() {
  curl -sS -m 10 -o "$work/answer" -w '%{http_code}' -X "$1" \
    -H 'host: presses.example' -H 'authorization: Bearer key-acme' \
    "http://${address_of_name[callers]}/q0/$2" ${3:+-d "$3"} 2>/dev/null
}
is_taken() { [ "$(call POST "$1" "$body")" = 200 ]; }
is_done() { [ "$(call GET "$1")" = 200 ] && grep -q '"done"' "$work/answer"; }
# Waits until a command succeeds, for a minute or longer.
await() {
  for _ in $(seq 600); do
    "$@" && return
    sleep 0.1
  done
  return 1
}
# Runs one job from its submission to its end.
run_job() {
  local id
  id=$(printf '%016x' $((jobs += 1)))
  await is_taken "$id" && await is_done "$id"
}

start_daemon() {
  rm -f "$work/daemon.log"
  write_daemon
  start daemon "$daemon" --config "$work/daemon.toml"
  await_address daemon '.*name=started http=\([0-9.:]*\).*'
  address_of_name[callers]=${address_of_name[daemon]}
  await is_ready || fail "the daemon is not ready"
}

# Prints a broken bound. Usage: check TEXT FOUND BOUND
check() {
  [ "$2" -le "$3" ] && return
  echo "BROKEN: $name: $1 $2, allowed $3"
  status=1
}

# Reads the highest number of descriptors and the peak of the memory.
sample() {
  local n
  n=$(count_descriptors 2>/dev/null) || return 0
  most=$((n > most ? n : most))
  peak=$(status_mb VmHWM 2>/dev/null) || true
}

# Samples until neither value has grown for 2 s, for 20 s at most.
sample_until_steady() {
  local quiet=0 before
  for _ in $(seq 200); do
    before="$most $peak"
    sample
    quiet=$((quiet + 1))
    [ "$before" = "$most $peak" ] || quiet=0
    [ "$quiet" -lt 20 ] || return 0
    sleep 0.1
  done
}

end_process() {
  kill -KILL "${pid_of[$1]}" 2>/dev/null || true
  wait "${pid_of[$1]}" 2>/dev/null || true
  unset "pid_of[$1]"
}

# Usage: play NAME KIND LISTENER PATH CONNECTIONS
play() {
  local name=$1 status=0 memory descriptors most=0 peak=0
  start_daemon
  # The first job fills the pools of memory and connections.
  run_job || fail "$name: a job in calm"
  memory=$(status_mb VmHWM)
  descriptors=$(count_descriptors)
  rm -f "$work/crowd.log"
  start crowd "$build/tests/client_crowd" "$2" "${address_of_name[$3]}" "$4" \
    "$5" "$hold_seconds"
  until grep -q '^played' "$work/crowd.log"; do
    kill -0 "${pid_of[crowd]}" 2>/dev/null || fail "$name: the crowd ended early"
    sample
    sleep 0.1
  done
  sample_until_steady
  end_process crowd
  check "growth of memory in MB" $((peak - memory)) "$max_growth_mb"
  check "more descriptors" $((most - descriptors)) "$max_more_descriptors"
  if ! kill -0 "${pid_of[daemon]}" 2>/dev/null; then
    echo "BROKEN: $name: the daemon ended"
    status=1
  elif ! run_job; then
    echo "BROKEN: $name: a job afterwards: $(cat "$work/answer")"
    status=1
  fi
  end_process daemon
  [ "$status" -eq 0 ] || cp "$work/daemon.log" "${TMPDIR:-/tmp}/client-crowd-$name.log"
  echo "$name: memory_mb=$memory+$((peak - memory))" \
    "descriptors=$descriptors+$((most - descriptors))" \
    "$(sed -n 's/^played //p' "$work/crowd.log")"
  return "$status"
}

body='{"spec":"{\"steps\":[{\"run_ms\":100,\"accelerators\":1}]}","steps":[{"count":1,"cpu":1000,"mem-mb":1000,"gpu":1,"estimate-ms":100}]}'
start fleet "$build/tests/fleet_standin" --gates 1
await_address fleet '^listening on \(.*\)$'
await_address control '^control on \(.*\)$' fleet
await_address gate '^gate 0 on \(.*\)$' fleet

failed=0 passed=0 jobs=0
while read -r name kind listener path connections; do
  [ -n "$name" ] || continue
  [ $# -eq 0 ] || [[ " $* " == *" $name "* ]] || continue
  if play "$name" "$kind" "$listener" "$path" "$connections"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
  fi
done <<<"$crowds"
echo "$passed of $((passed + failed)) crowds passed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
