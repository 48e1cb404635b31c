#!/usr/bin/env bash
# Runs daemon processes against the stand-in for the users' platform, injects
# seeded faults and checks the promises from the records of callers and workers.
# Faults come in series, each followed by a calm in which every accepted job has
# to make progress. The logs of a seed that fails stay in
# ${TMPDIR:-/tmp}/fleet-soak-SEED.
# Usage: scripts/fleet_soak.sh FIRST_SEED [COUNT [JOBS]]
# FLEET_SOAK_DAEMONS: number of daemons, 1 to 10; default 4.
# FLEET_SOAK_FAULTS: names of the faults to draw from; "takeover" stands for those
#   around takeovers. Those that both lists below leave out, since a longer list
#   would change what a seed means, are drawn by name only:
#   pause_owner_and_restart_workers, evacuate_zone, crash_workers.
# FLEET_SOAK_DEADLY: percentage of jobs with a task that crashes its workers.
# FLEET_SOAK_LONG_RUNS: if set, half of the steps have runs of 4 to 16 s.
# FLEET_SOAK_GAP: upper limit of the seconds between two faults; without it, they
#   are less than a second apart.
# FLEET_SOAK_CALM: seconds of a calm.
# FLEET_SOAK_DAEMON: path of the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
first=${1:?a seed is required}
count=${2:-1}
jobs=${3:-80}
daemons=${FLEET_SOAK_DAEMONS:-4}
daemon=${FLEET_SOAK_DAEMON:-$build/apps/cornelrudderd}
restarts=0
# Longest fault of a link or row, longer than the lease of the workers (6 s).
max_fault_seconds=9
# Longer than a takeover and the time after which a successor counts the runs of a
# worker as lost.
min_split_seconds=8
max_split_seconds=16
# Longer than the longest fault of a link, the recovery time and the time without
# a run that fleet_standin allows, 9 + 10 + 3 s.
calm_seconds=${FLEET_SOAK_CALM:-23}
# No series begins later than this, so that the jobs end within their limit.
last_series_seconds=90
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
address = "${address_of_name[gate-${name#daemon-}]}"

[timing]
drain_notice_ms = 300
drain_grace_ms = 1000
store_timeout_ms = 800

[scheduling]
# The workers of the stand-in refresh their rows each second.
worker_report_ms = 1000
TOML
  # Daemons of earlier versions do not know the key.
  case " ${faults[*]} " in
    *" evacuate_zone "*) echo "evacuation_ms = 5000" >>"$work/$name.toml" ;;
  esac
}

start_daemon() {
  start "$1" "$daemon" --config "$work/$1.toml"
  await_address "$1" '.*name=started http=\([0-9.:]*\).*'
}

# The functions that draw set $drawn, since bash seeds RANDOM anew in subshells.
draw_daemon() { drawn="daemon-$((RANDOM % daemons + 1))"; }
draw_worker() { drawn="$((RANDOM % 12))"; }
# Draws one of the arguments.
draw_of() {
  local choices=("$@")
  drawn=${choices[$((RANDOM % $#))]}
}
pause() { sleep "0.$((RANDOM % 6 + 3))"; }
control() {
  curl -sSf -m 5 -X POST "http://${address_of_name[control]}$1" >/dev/null ||
    fail "control request $1"
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
kill_daemon() {
  draw_daemon
  signal_and_restart "$drawn" KILL
}
drain_daemon() {
  draw_daemon
  signal_and_restart "$drawn" TERM
}
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
  draw_daemon
  name=$drawn
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
  draw_worker
  worker=$drawn
  control "/workers/$worker/silence"
  pause
  sleep $((RANDOM % 3))
  control "/workers/$worker/answer"
}
restart_worker() {
  draw_worker
  control "/workers/$drawn/restart"
}

# The following faults end by themselves and overlap with the others. Their
# durations are from under to over the lease of the workers.
# Usage: separate GATES WORKERS FAULT
separate() {
  control "/links/$1/$2/$3/$(((RANDOM % max_fault_seconds + 1) * 1000))"
}
separate_owner() {
  draw_of all half
  separate owner "$drawn" silent
}
reset_owner() {
  draw_of all half
  separate owner "$drawn" reset
}
lose_owner_replies() {
  draw_of all half
  separate owner "$drawn" one-way
}
separate_daemon() {
  draw_of silent reset one-way
  separate "$((RANDOM % daemons))" all "$drawn"
}
separate_worker() {
  local fault
  draw_of silent reset one-way
  fault=$drawn
  draw_worker
  separate all "$drawn" "$fault"
}
separate_all() {
  local fault
  draw_of silent reset
  fault=$drawn
  draw_of all half
  separate all "$drawn" "$fault"
}
remove_rows() {
  draw_worker
  draw_of all half "$drawn"
  control "/rows/$drawn/$(((RANDOM % max_fault_seconds + 1) * 1000))"
}
# A worker drains and leaves with its runs.
drain_worker() {
  draw_worker
  control "/drains/$drawn/$(((RANDOM % max_fault_seconds + 1) * 1000))"
}
# A worker drains, is cut off from the store and the daemons at once, and runs on
# under its lease.
drain_and_cut_worker() {
  local worker milliseconds
  draw_worker
  worker=$drawn
  milliseconds=$(((RANDOM % max_fault_seconds + 1) * 1000))
  control "/drains/$worker/$((milliseconds + 3000))"
  pause
  control "/rows/$worker/$milliseconds"
  control "/links/all/$worker/silent/$milliseconds"
}
# Workers announce less capacity than they run, and more again. The stand-in
# allows starts beyond it for 4.5 s after the change.
shrink_workers() {
  local accelerators=$((RANDOM % 7))
  draw_worker
  draw_of all half "$drawn"
  control "/capacity/$drawn/$accelerators/$(((RANDOM % max_fault_seconds + 1) * 1000))"
}
# Evacuations of several zones may overlap.
evacuate_zone() {
  draw_of z1 z2 z3
  control "/evacuations/$drawn/$(((RANDOM % 4 + 6) * 1000))"
}
# Three waves of crashes, 2 to 5 s apart; the workers are down for 1 to 4 s.
crash_workers() {
  local milliseconds=0 worker
  for _ in 1 2 3; do
    for _ in $(seq $((RANDOM % 3 + 1))); do
      draw_worker
      worker=$drawn
      control "/crashes/$worker/$milliseconds/$((RANDOM % 3000 + 1000))"
    done
    milliseconds=$((milliseconds + RANDOM % 3000 + 2000))
  done
}
# The workers' part of the store refuses transactions.
overload_store() {
  control "/overload/$(((RANDOM % max_fault_seconds + 1) * 1000))"
}
# Writes a row of another writer, which stays until the end of the seed.
write_odd_row() {
  draw_of nested number port
  control "/odd/$drawn"
}

# Sets $drawn to the name of the owner: at once ("now") or right after its next
# write of runs ("write"), the reply to which it has not received.
find_owner() {
  local reply
  reply=$(curl -sSf -m 5 -X POST \
    "http://${address_of_name[control]}/owner/$1") || fail "owner/$1"
  drawn="daemon-$((${reply//[^0-9]/} + 1))"
}
# Waits until the owner is another one than the named one, for 3 s at most.
await_other_owner() {
  for _ in $(seq 50); do
    find_owner now
    [ "$drawn" != "$1" ] && return
    sleep 0.05
  done
}
# Draws a number of milliseconds and sets $drawn to it in seconds.
draw_seconds() {
  local milliseconds=$(($1 + RANDOM % ($2 - $1)))
  printf -v drawn '%d.%03d' $((milliseconds / 1000)) $((milliseconds % 1000))
}
# Usage: fail_store GATES FAULT
fail_store() {
  control "/stores/$1/$2/$(((RANDOM % max_fault_seconds + 1) * 1000))"
}
isolate_owner_store() {
  draw_of silent one-way reset
  fail_store owner "$drawn"
}
refuse_owner_store() {
  draw_of 503 429
  fail_store owner "$drawn"
}
delay_owner_commands() {
  draw_of all half odd
  separate owner "$drawn" late
}
delay_owner_writes() { fail_store owner "late-$((RANDOM % 6 + 1))"; }
isolate_daemon_store() {
  draw_of silent one-way reset 503 429 late-3
  fail_store "$((RANDOM % daemons))" "$drawn"
}
# Workers that the others do not reach.
separate_others() {
  local workers
  draw_worker
  draw_of all half "$drawn"
  workers=$drawn
  draw_of silent one-way reset
  separate others "$workers" "$drawn"
}
# The owner loses the store and keeps workers that its successors do not reach.
leave_workers_to_owner() {
  separate_others
  isolate_owner_store
}
# The owner and the others reach no worker in common. Sets $milliseconds.
# Usage: split_workers [KEPT], the workers that the owner keeps
split_workers() {
  local kept=${1:-} rest fault
  milliseconds=$(((RANDOM % (max_split_seconds - min_split_seconds + 1) + \
    min_split_seconds) * 1000))
  if [ -z "$kept" ]; then
    draw_worker
    draw_of half odd "$drawn"
    kept=$drawn
  fi
  case $kept in
    half) rest=odd ;;
    odd) rest=half ;;
    *) rest=but-$kept ;;
  esac
  draw_of silent one-way reset
  fault=$drawn
  control "/links/others/$kept/$fault/$milliseconds"
  draw_of silent reset
  control "/links/owner/$rest/$drawn/$milliseconds"
}
split_and_isolate_owner() {
  local milliseconds
  split_workers
  draw_of silent one-way reset 503 late-3
  control "/stores/owner/$drawn/$milliseconds"
}
# The owner reaches one of its workers again when it has lost the store.
split_and_delay_owner() {
  local milliseconds parity=$((RANDOM % 2))
  local kept=(half odd)
  split_workers "${kept[$parity]}"
  control "/links/owner/$((RANDOM % 6 * 2 + parity))/silent/$(((RANDOM % 5 + 2) * 1000))"
  pause
  control "/stores/owner/silent/$milliseconds"
}
split_and_pause_owner() {
  local milliseconds
  split_workers
  pause_owner
}
# The owner loses its workers, and the replies to the release that follows.
lose_release() {
  separate owner all silent
  fail_store owner one-way
}
# Usage: pause_again MOMENT, as in find_owner
pause_again() {
  local name
  for _ in $(seq $((RANDOM % 3 + 2))); do
    find_owner "$1"
    name=$drawn
    kill -STOP "${pid_of[$name]}"
    draw_seconds 500 2000
    sleep "$drawn"
    kill -CONT "${pid_of[$name]}"
    draw_seconds 50 500
    sleep "$drawn"
  done
}
# The owner pauses after a write for about as long as a takeover takes, and one
# half of the workers restarts when a successor has asked them: they know the
# epoch of no owner when the former one goes on.
pause_owner_and_restart_workers() {
  local name worker first=$((RANDOM % 2))
  find_owner write
  name=$drawn
  kill -STOP "${pid_of[$name]}"
  draw_seconds 1350 1550
  sleep "$drawn"
  for worker in $(seq "$first" 2 11); do
    control "/workers/$worker/restart"
    draw_seconds 10 60
    sleep "$drawn"
  done
  kill -CONT "${pid_of[$name]}"
}
pause_owner() { pause_again now; }
pause_writing_owner() { pause_again write; }
kill_owner() {
  find_owner now
  signal_and_restart "$drawn" KILL
}
drain_owner() {
  find_owner now
  signal_and_restart "$drawn" TERM
}
# Takes the place of two or three owners in a row, each as soon as it is one.
replace_owners() {
  local name
  separate_others
  for _ in $(seq $((RANDOM % 2 + 2))); do
    find_owner now
    name=$drawn
    draw_of isolate_owner_store delay_owner_writes kill_owner drain_owner \
      freeze
    if [ "$drawn" = freeze ]; then
      kill -STOP "${pid_of[$name]}"
      await_other_owner "$name"
      kill -CONT "${pid_of[$name]}"
    else
      "$drawn"
      await_other_owner "$name"
    fi
  done
}

takeover=(isolate_owner_store refuse_owner_store delay_owner_writes
  delay_owner_commands isolate_daemon_store separate_others leave_workers_to_owner
  split_and_isolate_owner split_and_delay_owner split_and_pause_owner
  lose_release pause_owner pause_writing_owner kill_owner drain_owner
  replace_owners separate_owner lose_owner_replies)
faults=(kill_daemon restart_worker store_slow silence_worker drain_daemon
  lose_answers freeze_daemon drop_history store_down lose_and_kill kill_all
  separate_owner reset_owner lose_owner_replies separate_daemon separate_worker
  separate_all remove_rows write_odd_row overload_store
  shrink_workers drain_worker drain_and_cut_worker)
if [ "${FLEET_SOAK_FAULTS:-}" ]; then
  read -ra faults <<<"${FLEET_SOAK_FAULTS/takeover/${takeover[*]}}"
fi

# Injects one fault and marks its time for the checks of the stand-in.
inject() {
  echo "$(date +%s.%3N) $1" >>"$work/faults.log"
  control /faults/begin
  "$1"
  control /faults/end
}

await_next_fault() {
  if [ "${FLEET_SOAK_GAP:-}" ]; then
    draw_seconds 300 $((FLEET_SOAK_GAP * 1000))
    sleep "$drawn"
  else
    pause
  fi
}

# Injects faults until the time is over or the load has ended.
# Usage: run_series LOAD_PID SECONDS
run_series() {
  local load=$1 end=$((SECONDS + $2)) fault
  while [ "$SECONDS" -lt "$end" ] && kill -0 "$load" 2>/dev/null; do
    await_next_fault
    fault=${faults[$((RANDOM % ${#faults[@]}))]}
    injected+=("$fault")
    inject "$fault"
  done
}

# Waits without faults until the time is over or the load has ended.
stay_calm() {
  local load=$1 end=$((SECONDS + $2))
  while [ "$SECONDS" -lt "$end" ] && kill -0 "$load" 2>/dev/null; do
    sleep 0.2
  done
}

# Runs one seed: a new platform, load, and faults in a seeded order.
run_seed() {
  local seed=$1 i load begin status=0 injected=()
  RANDOM=$seed
  for i in $(seq "$daemons"); do
    [ -n "${pid_of[daemon-$i]:-}" ] && kill -KILL "${pid_of[daemon-$i]}" || true
  done
  [ -n "${pid_of[fleet]:-}" ] && kill -KILL "${pid_of[fleet]}" || true
  wait 2>/dev/null || true
  rm -f "$work"/*.log
  start fleet "$build/tests/fleet_standin" --gates "$daemons"
  await_address fleet '^listening on \(.*\)$'
  await_address control '^control on \(.*\)$' fleet
  for i in $(seq "$daemons"); do
    await_address "gate-$i" "^gate $((i - 1)) on \\(.*\\)\$" fleet
  done
  local servers=()
  for i in $(seq "$daemons"); do
    write_daemon "daemon-$i" 127.0.0.1:0
    start_daemon "daemon-$i"
    sed -i "s/^http_address.*/http_address = \"${address_of_name[daemon-$i]}\"/" \
      "$work/daemon-$i.toml"
    servers+=("${address_of_name[daemon-$i]}")
  done
  "$build/tests/fleet_caller" --seed "$seed" --jobs "$jobs" \
    --standin "${address_of_name[control]}" \
    --daemons "$(IFS=,; echo "${servers[*]}")" \
    ${FLEET_SOAK_LONG_RUNS:+--long-runs} \
    ${FLEET_SOAK_DEADLY:+--deadly "$FLEET_SOAK_DEADLY"} >"$work/caller.log" 2>&1 &
  load=$!
  begin=$SECONDS
  while kill -0 "$load" 2>/dev/null; do
    if [ "$((SECONDS - begin))" -lt "$last_series_seconds" ]; then
      run_series "$load" $((RANDOM % 15 + 10))
    fi
    stay_calm "$load" "$calm_seconds"
  done
  wait "$load" || status=$?
  cat "$work/caller.log"
  pairs=$((pairs + $(sed -n 's/.* pairs=\([0-9]*\)$/\1/p' "$work/caller.log")))
  if [ "$status" -ne 0 ]; then
    echo "FAILED: seed $seed after ${injected[*]}"
    rm -rf "${TMPDIR:-/tmp}/fleet-soak-$seed"
    cp -r "$work" "${TMPDIR:-/tmp}/fleet-soak-$seed"
  fi
  return "$status"
}

failed=0 pairs=0
for seed in $(seq "$first" $((first + count - 1))); do
  run_seed "$seed" || failed=$((failed + 1))
done
echo "$((count - failed)) of $count seeds passed, pairs=$pairs"
[ "$failed" -eq 0 ]
