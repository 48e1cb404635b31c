#!/usr/bin/env bash
# Builds and starts the whole system on free loopback ports, drives it through
# its main functions and stops it. Exits 0 only if each step gave the expected
# result. Usage: scripts/demo.sh [--no-install]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}

if [ "${1:-}" != --no-install ]; then
  scripts/install_deps.sh
  scripts/build.sh "$build"
fi

. scripts/cluster.sh

echo "== start"
start_standin platform platform_standin
platform=${address_of_name[platform]}
for i in 1 2; do
  start_standin "runner-$i" runner_standin
  add_vm "runner-$i" runner "zone-$i" "rack-r$i"
done
for i in 1 2 3 4 5 6; do
  start_standin "worker-$i" worker_standin
  add_vm "worker-$i" worker zone-1 rack-w1 8
done

# Starts a daemon; the first one is the seed peer of the others.
start_daemon() {
  local i=$1 zone=$2
  write_entry "entry-$i" "zone-$zone" 127.0.0.1:0 127.0.0.1:0 \
    "${peer_of[entry-1]:-}"
  start_entry "entry-$i"
  eval "entry_$i=${address_of_name[entry-$i]}"
}

for i in 1 2 3; do
  zone=$((i == 3 ? 2 : i))
  start_daemon "$i" "$zone"
  add_vm "entry-$i" entry "zone-$zone" "rack-e$i"
done
publish_vms

# Succeeds if a daemon lists the given number of peers and all are alive.
peers_are_alive() {
  local address=$1 count=$2
  curl -sf "http://$address/v1/members" |
    jq -e "[.members[] | select(.state == \"alive\" and .peer_address)] | length == $count"
}

is_ready() {
  curl -sf "http://$1/readyz"
}

echo "== membership"
for i in 1 2 3; do
  address=${address_of_name[entry-$i]}
  wait_until "entry-$i discovers both other daemons through a common seed" \
    peers_are_alive "$address" 2
  wait_until "entry-$i is ready" is_ready "$address"
done

echo "== settings"
cli -s "$entry_1" settings set organisations/acme display_name=Acme >/dev/null
cli -s "$entry_1" settings set organisations/acme/teams/night >/dev/null
cli -s "$entry_1" settings set organisations/acme/shapes/half region=region-1 \
  workers=4 accelerators_per_worker=8 adjacency=rack >/dev/null
cli -s "$entry_2" settings set classes/proof-render \
  idempotent=true max_wait_ms=0 timeout_ms=10000 urgency=9 >/dev/null
for i in 1 2 3; do
  address=${address_of_name[entry-$i]}
  wait_until "entry-$i applies the settings" sh -c \
    "curl -s http://$address/v1/settings | grep classes/proof-render | grep teams/night | grep -q shapes/half"
done
answer=$(cli -s "$entry_3" settings set classes/proof-render idempotent=true \
  max_wait_ms=1 timeout_ms=1 2>&1 || echo "exit=$?")
expect "a change based on an outdated version is refused" "exit=4" "$answer"
answer=$(cli -s "$entry_3" settings set classes/x idempotant=true 2>&1 ||
  echo "exit=$?")
expect "the error for an unknown key suggests the nearest one" \
  "nearest is idempotent" "$answer"

echo "== requests"
for i in 1 2 3; do
  address=${address_of_name[entry-$i]}
  run_request() {
    cli -s "$address" -o acme -t night -b "spread $i" request run proof-render |
      grep -q "^done:spread $i$"
  }
  wait_until "entry-$i returns the complete response of a runner" run_request
done
answer=$(cli -s "$entry_1" -o nobody -t night -b x request run proof-render 2>&1 ||
  echo "exit=$?")
expect "an unknown organisation is refused as not run" '"ran":"no"' "$answer"

echo "== the platform's table is down"
curl -sSf -X PUT "http://$platform/faults" -d '{"down":1}' >/dev/null
start_daemon 4 1
wait_until "a daemon started without the table becomes ready" is_ready "$entry_4"
expect "its settings came from a peer" "source=entry-" \
  "$(grep name=ready "$work/entry-4.log")"
# Versions are those of entry-1, which reads them from the table.
expect "it has the same settings as entry-1" \
  "$(curl -sf "http://$entry_1/v1/settings")" \
  "$(curl -sf "http://$entry_4/v1/settings")"
wait_until "entry-1 lists three peers as alive" peers_are_alive "$entry_1" 3
curl -sSf -X PUT "http://$platform/faults" -d '{}' >/dev/null

echo "== settings by peers"
change_settings() {
  cli -s "$entry_2" settings set policy routing=own_zone
}
wait_until "the table accepts changes again" change_settings
# Repeats changes until one arrives from a peer, since a poll of the table may
# return a change first.
changes=0
change_arrives_from_peer() {
  changes=$((changes + 1))
  cli -s "$entry_2" settings set "organisations/demo-$changes"
  sleep 0.1
  grep "name=settings_from_peer peer=entry-2 documents=1$" "$work/$1.log"
}
for i in 1 3 4; do
  address=${address_of_name[entry-$i]}
  wait_until "entry-$i applies the change" sh -c \
    "curl -s http://$address/v1/settings | grep -q policy"
  wait_until "entry-$i gets a change from a peer" \
    change_arrives_from_peer "entry-$i"
done

echo "== drain"
expect "a drain is accepted" draining \
  "$(curl -sSf -X POST "http://$entry_4/v1/drain")"
wait_until "entry-1 records that entry-4 is leaving" \
  grep "name=peer_leaving peer=entry-4" "$work/entry-1.log"
status=0
wait "${pid_of[entry-4]}" || status=$?
expect "the drained daemon exits with status 0" "0" "$status"
wait_until "entry-1 records that entry-4 has left" \
  grep "name=peer_gone peer=entry-4" "$work/entry-1.log"

echo "== non-idempotent requests"
cli -s "$entry_1" settings set classes/kerf-check \
  idempotent=false max_wait_ms=0 timeout_ms=10000 >/dev/null
for i in 1 2 3; do
  address=${address_of_name[entry-$i]}
  wait_until "entry-$i applies the class kerf-check" sh -c \
    "curl -s http://$address/v1/status | grep -q classes/kerf-check"
done
# Sends a kerf check with a key. Usage: kerf_check ADDRESS KEY BODY
kerf_check() {
  curl -s -X POST "http://$1/v1/requests/kerf-check" -H "X-Organisation: acme" \
    -H "X-Team: night" ${2:+-H "Idempotency-Key: $2"} -d "$3"
}
# Counts the runs of a body in the journals of all runners.
runs_of() {
  local i
  for i in 1 2; do
    curl -sSf "http://${address_of_name[runner-$i]}/journal"
  done | jq -s --arg body "$1" '[.[].runs[] | select(.body == $body)] | length'
}
first=$(kerf_check "$entry_1" order-17 "kerf 17")
expect "a kerf check gets a response" "done:kerf 17" "$first"
again=$(kerf_check "$entry_1" order-17 "kerf 17")
expect "a retry with the same key gets the same response" "$first" "$again"
again=$(kerf_check "$entry_2" order-17 "kerf 17")
expect "a retry through another daemon gets the same response" "$first" "$again"
expect "the journals show one run" "runs=1;" "runs=$(runs_of "kerf 17");"
expect "the key with another body is refused" '"error":"key_reused"' \
  "$(kerf_check "$entry_2" order-17 "kerf 18")"
expect "a kerf check without key is refused" '"error":"key_required"' \
  "$(kerf_check "$entry_2" "" "kerf 18")"
curl -sSf -X PUT "http://$platform/faults" -d '{"lose_answers":3}' >/dev/null
expect "a request completes although the store loses responses" \
  "done:kerf 19" \
  "$(kerf_check "$entry_3" order-19 "kerf 19")"
curl -sSf -X PUT "http://$platform/faults" -d '{}' >/dev/null
expect "it ran once" "runs=1;" "runs=$(runs_of "kerf 19");"
expect "refused kerf checks did not run" "runs=0;" "runs=$(runs_of "kerf 18");"

echo "== placement lease"
status_of() { curl -s "http://$1/v1/status"; }
owner_is_known() { status_of "$entry_1" | jq -e '.lease.owner != null'; }
wait_until "the placement domain has an owner" owner_is_known
owner=$(status_of "$entry_1" | jq -r .lease.owner)
epoch=$(status_of "$entry_1" | jq -r .lease.epoch)

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
# Counts an event of the job over the journals of all workers.
count_events() {
  for n in 1 2 3 4 5 6; do
    curl -sSf "http://${address_of_name[worker-$n]}/journal"
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
expect "explain reports the state of the job" '"explanation":"done"' "$answer"

echo "== evacuation"
answer=$(cli -s "$entry_1" evacuate zone-9 2>&1 || echo "exit=$?")
expect "the evacuation of an unknown zone is refused" \
  "allowed are zone-1, zone-2" "$answer"
expect "its exit status is 2" "exit=2" "$answer"
cli -s "$entry_1" evacuate zone-1 >/dev/null
for i in 1 2 3; do
  wait_until "entry-$i applies the evacuation" sh -c \
    "curl -s http://${address_of_name[entry-$i]}/v1/fleet | jq -e '.evacuated_zones == [\"zone-1\"]'"
done
expect "the list of VMs shows it" '"evacuated":true' "$(cli -s "$entry_2" fleet)"
count_runs() {
  curl -sSf "http://${address_of_name[runner-1]}/journal" | jq '.runs | length'
}
before=$(count_runs)
for i in 1 2 3 1 2 3; do
  address=${address_of_name[entry-$i]}
  wait_until "entry-$i returns a response from the other zone" run_request
done
expect "the runner of the zone got no request" "=$before=" "=$(count_runs)="
answer=$(cli -s "$entry_2" -o acme -t night --workers 4 --accelerators 8 \
  --expected 1 job submit nesting)
job=$(jq -r .id <<<"$answer")
explains_evacuation() {
  cli -s "$entry_2" explain "$job" | grep "evacuated zones zone-1"
}
wait_until "explain names the evacuation" explains_evacuation
cli -s "$entry_3" evacuate --return zone-1 >/dev/null
answer=$(cli -s "$entry_2" job wait "$job" 2>&1 || echo "exit=$?")
expect "the gang is done after the return of the zone" '"state":"done"' "$answer"
expect "no member started before" "=4=" "=$(count_events start)="

echo "== graceful shutdown"
cli -s "$entry_1" -o acme -t night -b "work_ms=1500 long" request run \
  proof-render >"$work/long.out" 2>&1 &
long=$!
sleep 0.5
kill -TERM "${pid_of[entry-1]}"
wait "$long" || fail "a request was cut off: $(cat "$work/long.out")"
expect "the running request got its response" "done:work_ms=1500 long" \
  "$(cat "$work/long.out")"
status=0
wait "${pid_of[entry-1]}" || status=$?
expect "the daemon exits with status 0" "0" "$status"
running_daemon_owns_lease() {
  status_of "$entry_2" | jq -e --arg owner "$owner" --argjson epoch "$epoch" \
    '.lease.owner != null and .lease.owner != "entry-1" and
     (if $owner == "entry-1" then .lease.epoch == $epoch + 1
      else .lease.epoch == $epoch end)'
}
wait_until "a running daemon owns the lease, with the expected epoch" \
  running_daemon_owns_lease
echo "demo passed"
