#!/usr/bin/env bash
# Builds and starts the whole system on free loopback ports, drives it through
# its main functions and stops it. Exits 0 only if each step gave the expected
# answer. Usage: scripts/demo.sh [--no-install]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()

# Stops exactly the processes that this script started.
cleanup() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "${KEEP_LOGS:-}" ]; then
    echo "logs: $work"
  else
    rm -rf "$work"
  fi
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$work"/*.log >&2 || true
  exit 1
}

# Waits until a command succeeds, under a generous deadline.
wait_until() {
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then
      echo "ok: $what"
      return
    fi
    sleep 0.1
  done
  fail "$what"
}

# Compares an answer with what was expected.
expect() {
  local what=$1 wanted=$2 got=$3
  case "$got" in
    *"$wanted"*) echo "ok: $what" ;;
    *) fail "$what: wanted $wanted, got $got" ;;
  esac
}

# Starts a program; its log is $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# Prints the address of a stand-in once it listens.
address_of() {
  for _ in $(seq 600); do
    if grep -q "listening on" "$work/$1.log" 2>/dev/null; then
      sed -n 's/^listening on //p' "$work/$1.log" | head -n 1
      return
    fi
    sleep 0.05
  done
  fail "$1 does not listen"
}

http_address_of() {
  for _ in $(seq 600); do
    if grep -q "name=started" "$work/$1.log" 2>/dev/null; then
      sed -n 's/.*name=started http=\([0-9.:]*\).*/\1/p' "$work/$1.log" | head -n 1
      return
    fi
    sleep 0.05
  done
  fail "$1 does not start"
}

if [ "${1:-}" != --no-install ]; then
  scripts/install_deps.sh
  scripts/build.sh "$build"
fi

echo "== start"
start platform "$build/tools/platform_standin"
platform=$(address_of platform)
vms=()
for i in 1 2; do
  start "runner-$i" "$build/tools/runner_standin"
  vms+=("{\"id\":\"runner-$i\",\"role\":\"runner\",\"address\":\"$(address_of "runner-$i")\",\"region\":\"region-1\",\"zone\":\"zone-$i\",\"rack\":\"rack-r$i\"}")
done

for i in 1 2 3 4 5 6; do
  start "worker-$i" "$build/tools/worker_standin"
  eval "worker_$i=$(address_of "worker-$i")"
  vms+=("{\"id\":\"worker-$i\",\"role\":\"worker\",\"address\":\"$(address_of "worker-$i")\",\"region\":\"region-1\",\"zone\":\"zone-1\",\"rack\":\"rack-w1\",\"accelerators\":8}")
done

for i in 1 2 3; do
  zone=$((i == 3 ? 2 : i))
  cat >"$work/entry-$i.toml" <<TOML
[daemon]
id = "entry-$i"
region = "region-1"
zone = "zone-$zone"
http_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"

[platform]
address = "$platform"

[timing]
poll_ms = 200
drain_notice_ms = 200
TOML
  start "entry-$i" "$build/apps/cornelrudderd" --config "$work/entry-$i.toml"
  eval "entry_$i=$(http_address_of "entry-$i")"
  eval "address=\$entry_$i"
  vms+=("{\"id\":\"entry-$i\",\"role\":\"entry\",\"address\":\"$address\",\"region\":\"region-1\",\"zone\":\"zone-$zone\",\"rack\":\"rack-e$i\"}")
done
list=$(IFS=,; echo "${vms[*]}")
curl -sSf -X PUT "http://$platform/vms" -d "{\"vms\":[$list]}" >/dev/null

cli() { "$build/apps/cornelrudder" "$@"; }

echo "== settings"
cli -s "$entry_1" settings set organisations/acme display_name=Acme >/dev/null
cli -s "$entry_1" settings set organisations/acme/teams/night >/dev/null
cli -s "$entry_2" settings set classes/proof-render \
  idempotent=true max_wait_ms=0 timeout_ms=10000 urgency=9 >/dev/null
for i in 1 2 3; do
  eval "address=\$entry_$i"
  wait_until "settings are in force on entry-$i" sh -c \
    "curl -s http://$address/v1/settings | grep classes/proof-render | grep -q teams/night"
done
answer=$(cli -s "$entry_3" settings set classes/proof-render idempotent=true \
  max_wait_ms=1 timeout_ms=1 2>&1 || echo "exit=$?")
expect "a change of an outdated version is refused" "exit=4" "$answer"
answer=$(cli -s "$entry_3" settings set classes/x idempotant=true 2>&1 ||
  echo "exit=$?")
expect "an unknown key names the nearest" "nearest is idempotent" "$answer"

echo "== requests"
for i in 1 2 3; do
  eval "address=\$entry_$i"
  run_request() {
    cli -s "$address" -o acme -t night -b "spread $i" request run proof-render |
      grep -q "^done:spread $i$"
  }
  wait_until "entry-$i passes on a runner's whole answer" run_request
done
answer=$(cli -s "$entry_1" -o nobody -t night -b x request run proof-render 2>&1 ||
  echo "exit=$?")
expect "an unknown organisation is refused as not run" '"ran":"no"' "$answer"

echo "== gang jobs"
cli -s "$entry_1" settings set classes/nesting idempotent=true \
  max_wait_ms=60000 timeout_ms=10000 >/dev/null
submit_job() {
  cli -s "$entry_2" -o acme -t night -k night-shift --workers 4 \
    --accelerators 8 --expected 1 job submit nesting >"$work/job.json" 2>&1
}
wait_until "a gang of 4 x 8 is accepted" submit_job
job=$(jq -r .id "$work/job.json")
answer=$(cli -s "$entry_2" job wait "$job" 2>&1 || echo "exit=$?")
expect "the gang is done" '"state":"done"' "$answer"
# Sums an event of the job over the journals of all workers.
count_events() {
  for n in 1 2 3 4 5 6; do
    eval "address=\$worker_$n"
    curl -sSf "http://$address/journal"
  done | jq -s --arg event "$1" --arg job "$job" \
    '[.[].entries[] | select(.event == $event and .gang == $job)] | length'
}
for event in commit start finish; do
  expect "4 members: $event" "=4=" "=$(count_events "$event")="
done
submit_job
expect "a repeated key gives the same job" "$job" "$(jq -r .id "$work/job.json")"
answer=$(cli -s "$entry_2" -o acme -t night --workers 7 --accelerators 8 \
  job submit nesting 2>&1 || echo "exit=$?")
expect "a job that never fits is refused as not run" '"ran":"no"' "$answer"
expect "its exit status is 1" "exit=1" "$answer"
answer=$(cli -s "$entry_2" explain "$job" 2>&1 || echo "exit=$?")
expect "a job is explained" '"explanation":"done"' "$answer"

echo "== graceful shutdown"
cli -s "$entry_1" -o acme -t night -b "work_ms=1500 long" request run \
  proof-render >"$work/long.out" 2>&1 &
long=$!
sleep 0.5
kill -TERM "$pid_entry_1"
wait "$long" || fail "a request was cut off: $(cat "$work/long.out")"
expect "the running request got its answer" "done:work_ms=1500 long" \
  "$(cat "$work/long.out")"
status=0
wait "$pid_entry_1" || status=$?
expect "the daemon exits with status 0" "0" "$status"
echo "demo passed"
