#!/usr/bin/env bash
# Runs daemon processes against the stand-in for the users' platform, injects
# seeded faults and checks the promises from the records of callers and workers.
# Usage: scripts/fleet_soak.sh FIRST_SEED [COUNT [JOBS]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
first=${1:?a seed is required}
count=${2:-1}
jobs=${3:-80}
daemons=4
restarts=0
. scripts/cluster.sh

write_daemon() {
  local name=$1 http=$2
  cat >"$work/$name.toml" <<TOML
[daemon]
id = "$name"
region = "region-1"
zone = "zone-1"
http_address = "$http"
readiness_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"

[platform]
kind = "fleet"
address = "${address_of_name[fleet]}"

[timing]
drain_notice_ms = 300
drain_grace_ms = 1000
store_timeout_ms = 800
TOML
}

start_daemon() {
  start "$1" "$build/apps/cornelrudderd" --config "$work/$1.toml"
  await_address "$1" '.*name=started http=\([0-9.:]*\).*'
}

any_daemon() { echo "daemon-$((RANDOM % daemons + 1))"; }
any_worker() { echo "$((RANDOM % 12))"; }
pause() { sleep "0.$((RANDOM % 6 + 3))"; }
control() {
  curl -sS -m 5 -X POST "http://${address_of_name[fleet]}$1" >/dev/null || true
}

# Restarts a terminated daemon on its previous port and keeps its earlier log.
restart_terminated() {
  local name=$1
  wait "${pid_of[$name]}" 2>/dev/null || true
  mv "$work/$name.log" "$work/$name.$((restarts += 1)).log"
  start_daemon "$name"
}
# Terminates a daemon with a signal and restarts it.
# Usage: signal_and_restart NAME SIGNAL
signal_and_restart() {
  kill "-$2" "${pid_of[$1]}"
  restart_terminated "$1"
}
kill_daemon() { signal_and_restart "$(any_daemon)" KILL; }
drain_daemon() { signal_and_restart "$(any_daemon)" TERM; }
kill_all() {
  local i
  for i in $(seq "$daemons"); do
    kill -KILL "${pid_of[daemon-$i]}"
  done
  for i in $(seq "$daemons"); do
    restart_terminated "daemon-$i"
  done
}
freeze_daemon() {
  local name
  name=$(any_daemon)
  kill -STOP "${pid_of[$name]}"
  pause
  sleep $((RANDOM % 3))
  kill -CONT "${pid_of[$name]}"
}
with_fault() {
  set_faults fleet "$1"
  pause
  pause
  set_faults fleet '{}'
}
store_down() { with_fault '{"down":1}'; }
store_slow() { with_fault '{"slow_ms":300}'; }
lose_answers() { with_fault '{"lose_answers":8}'; }
lose_and_kill() {
  set_faults fleet '{"lose_answers":8}'
  kill_daemon
  set_faults fleet '{}'
}
drop_history() { control /history/drop; }
silence_worker() {
  local worker
  worker=$(any_worker)
  control "/workers/$worker/silence"
  pause
  sleep $((RANDOM % 3))
  control "/workers/$worker/answer"
}
restart_worker() { control "/workers/$(any_worker)/restart"; }

faults=(kill_daemon restart_worker store_slow silence_worker drain_daemon
  lose_answers freeze_daemon drop_history store_down lose_and_kill kill_all)

# Runs one seed: a new platform, load, and faults in a seeded order.
run_seed() {
  local seed=$1 i load status=0 injected=()
  RANDOM=$seed
  for i in $(seq "$daemons"); do
    [ -n "${pid_of[daemon-$i]:-}" ] && kill -KILL "${pid_of[daemon-$i]}" || true
  done
  [ -n "${pid_of[fleet]:-}" ] && kill -KILL "${pid_of[fleet]}" || true
  wait 2>/dev/null || true
  rm -f "$work"/*.log
  start fleet "$build/tests/fleet_standin"
  await_address fleet '^listening on \(.*\)$'
  local servers=()
  for i in $(seq "$daemons"); do
    write_daemon "daemon-$i" 127.0.0.1:0
    start_daemon "daemon-$i"
    sed -i "s/^http_address.*/http_address = \"${address_of_name[daemon-$i]}\"/" \
      "$work/daemon-$i.toml"
    servers+=("${address_of_name[daemon-$i]}")
  done
  "$build/tests/fleet_caller" --seed "$seed" --jobs "$jobs" \
    --standin "${address_of_name[fleet]}" \
    --daemons "$(IFS=,; echo "${servers[*]}")" &
  load=$!
  while kill -0 "$load" 2>/dev/null; do
    pause
    i=${faults[$((RANDOM % ${#faults[@]}))]}
    injected+=("$i")
    "$i"
  done
  wait "$load" || status=$?
  if [ "$status" -ne 0 ]; then
    echo "FAILED: seed $seed after ${injected[*]}"
    cp -r "$work" "/tmp/fleet-soak-$seed"
  fi
  return "$status"
}

failed=0
for seed in $(seq "$first" $((first + count - 1))); do
  run_seed "$seed" || failed=$((failed + 1))
done
echo "$((count - failed)) of $count seeds passed"
[ "$failed" -eq 0 ]
