#!/usr/bin/env bash
# Runs the whole system under seeded load and faults, and checks the history
# recorded by callers, operators, runners and workers.
# Usage: scripts/history.sh SEED [FAULT...]   (default: all faults in turn)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
seed=${1:?a seed is required}
shift
faults=("$@")
if [ ${#faults[@]} -eq 0 ]; then
  faults=(kill_entry freeze_entry store_down store_slow lose_answers
    runner_cross runner_truncate runner_slow runner_fail worker_lose
    kill_and_lose freeze_long drain_entry runner_leaves)
fi
. scripts/cluster.sh
RANDOM=$seed

start_standin platform platform_standin
for i in 1 2 3; do
  start_standin "runner-$i" runner_standin
  add_vm "runner-$i" runner "zone-$(((i + 1) / 2))" "rack-r$i"
done
for i in 1 2 3 4 5 6; do
  start_standin "worker-$i" worker_standin
  add_vm "worker-$i" worker zone-1 rack-w1 8
done
entries=(entry-1 entry-2 entry-3)
for i in 1 2 3; do
  write_entry "entry-$i" "zone-$(((i + 1) / 2))" 127.0.0.1:0 127.0.0.1:0 \
    "${peer_of[entry-1]:-}"
  start_entry "entry-$i"
  # Fixes the ports, so that a restarted daemon keeps its addresses.
  sed -i "s/^http_address.*/http_address = \"${address_of_name[entry-$i]}\"/
    s/^peer_address.*/peer_address = \"${peer_of[entry-$i]}\"/" \
    "$work/entry-$i.toml"
  add_vm "entry-$i" entry "zone-$(((i + 1) / 2))" "rack-e$i"
done
publish_vms
servers=${address_of_name[entry-1]},${address_of_name[entry-2]},${address_of_name[entry-3]}

one=${address_of_name[entry-1]}
cli -s "$one" settings set organisations/acme display_name=Acme >/dev/null
cli -s "$one" settings set organisations/acme/teams/night >/dev/null
cli -s "$one" settings set classes/proof-render idempotent=true \
  max_wait_ms=2000 timeout_ms=3000 >/dev/null
cli -s "$one" settings set classes/kerf-check idempotent=false \
  max_wait_ms=2000 timeout_ms=3000 >/dev/null
cli -s "$one" settings set classes/nesting idempotent=true \
  max_wait_ms=60000 timeout_ms=3000 >/dev/null
cli -s "$one" settings set classes/billed idempotent=false \
  max_wait_ms=60000 timeout_ms=3000 >/dev/null
for name in "${entries[@]}"; do
  wait_until "$name is ready" curl -sf "http://${address_of_name[$name]}/readyz"
  wait_until "$name has the settings" sh -c \
    "curl -s http://${address_of_name[$name]}/v1/settings | grep -q classes/billed"
done

any_entry() { echo "${entries[$((RANDOM % 3))]}"; }
any_runner() { echo "runner-$((RANDOM % 3 + 1))"; }
pause() { sleep "0.$((RANDOM % 6 + 3))"; }

kill_entry() {
  local name
  name=$(any_entry)
  kill -KILL "${pid_of[$name]}"
  wait "${pid_of[$name]}" 2>/dev/null || true
  pause
  : >"$work/$name.log"
  start_entry "$name"
}
# Planned stop under load; exit status 0 means that no request was cut off.
drain_entry() {
  local name status=0
  name=$(any_entry)
  kill -TERM "${pid_of[$name]}"
  wait "${pid_of[$name]}" || status=$?
  [ "$status" = 0 ] || fail "P7: $name ended with status $status"
  : >"$work/$name.log"
  start_entry "$name"
}
freeze_entry() {
  local name
  name=$(any_entry)
  kill -STOP "${pid_of[$name]}"
  pause
  pause
  kill -CONT "${pid_of[$name]}"
}
# Longer than the lease of the placement domain, so that another daemon acquires
# the lease.
freeze_long() {
  local name
  name=$(any_entry)
  kill -STOP "${pid_of[$name]}"
  sleep 5
  kill -CONT "${pid_of[$name]}"
}
runs_on() {
  curl -sS "http://${address_of_name[$1]}/journal" | jq '.runs | length'
}
# A runner that the platform lists as leaving gets no new requests after 3 s.
runner_leaves() {
  local name before after
  name=$(any_runner)
  list_vms | sed "s/\"id\":\"$name\"/\"state\":\"leaving\",&/" | put_vms
  sleep 3
  before=$(runs_on "$name")
  sleep 1
  after=$(runs_on "$name")
  [ "$before" = "$after" ] ||
    fail "P6: $name got $((after - before)) requests while it was leaving"
  list_vms | put_vms
}
with_fault() {
  set_faults "$1" "$2"
  pause
  pause
  set_faults "$1" '{}'
}
store_down() { with_fault platform '{"down":1}'; }
store_slow() { with_fault platform '{"slow_ms":400}'; }
lose_answers() { with_fault platform '{"lose_answers":20}'; }
runner_cross() { with_fault "$(any_runner)" '{"cross_next":10}'; }
runner_truncate() { with_fault "$(any_runner)" '{"truncate_next":10}'; }
runner_slow() { with_fault "$(any_runner)" '{"slow_ms":1500}'; }
worker_lose() { with_fault "worker-$((RANDOM % 6 + 1))" '{"lose_answers":5}'; }
runner_fail() { with_fault "$(any_runner)" '{"fail_all":1}'; }
kill_and_lose() {
  set_faults platform '{"lose_answers":20}'
  kill_entry
  set_faults platform '{}'
}

echo "seed $seed, faults ${faults[*]}"
"$build/tools/load_client" --servers "$servers" --seed "$seed" \
  --callers 12 --calls "${HISTORY_CALLS:-250}" \
  --submitters 3 --jobs "${HISTORY_JOBS:-8}" >"$work/load.jsonl" \
  2>"$work/load.log" &
load=$!
n=0
while kill -0 "$load" 2>/dev/null; do
  "${faults[$((n % ${#faults[@]}))]}"
  n=$((n + 1))
done
wait "$load" || fail "the load client failed"
echo "injected $n faults"

# All daemons must apply all settings changes after the last fault.
settings_agree() {
  "$build/tools/load_client" --servers "$servers" --callers 0 --operators 0 \
    >"$work/final.jsonl"
  [ "$(wc -l <"$work/final.jsonl")" = 3 ] &&
    [ "$(sed 's/"reader":"[^"]*",//' "$work/final.jsonl" | sort -u | wc -l)" = 1 ]
}
wait_until "all daemons have the same settings" settings_agree

for i in 1 2 3; do
  curl -sS "http://${address_of_name[runner-$i]}/journal" |
    jq -c --arg runner "runner-$i" \
      '.runs[] | {type: "run", runner: $runner, request, body}'
done >"$work/journal.jsonl"
for i in 1 2 3 4 5 6; do
  curl -sS "http://${address_of_name[worker-$i]}/journal" |
    jq -c --arg worker "worker-$i" '.entries[] | {type: "member_step",
      worker: $worker, gang, attempt, kind: .event, at_ms}'
done >>"$work/journal.jsonl"
"$build/tests/check_history" "$work/load.jsonl" "$work/final.jsonl" \
  "$work/journal.jsonl" || {
  KEEP_LOGS=1
  fail "the history breaks a promise (seed $seed)"
}
jq -r 'select(.type == "call" or .type == "job") | .type + " " + (.end // .state)' \
  "$work/load.jsonl" | sort | uniq -c
