#!/usr/bin/env bash
# Measures the overhead of the owner of a placement domain for running gang
# members (lease renewals) with real processes, for several numbers of members.
# Prints a table for docs/CAPACITY.md. Usage: scripts/measure_gangs.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
seconds=${1:-20}
. scripts/cluster.sh

start_standin platform platform_standin
for i in $(seq 8); do
  start_standin "worker-$i" worker_standin
  add_vm "worker-$i" worker zone-1 rack-1 8
done
write_entry entry-1 zone-1 127.0.0.1:0 127.0.0.1:0
sed -i '/^\[timing\]/,$d' "$work/entry-1.toml"
start_entry entry-1
add_vm entry-1 entry zone-1 rack-e
publish_vms
one=${address_of_name[entry-1]}
pid=${pid_of[entry-1]}
cli -s "$one" settings set organisations/o >/dev/null
cli -s "$one" settings set organisations/o/teams/t >/dev/null
cli -s "$one" settings set classes/long idempotent=true max_wait_ms=60000 \
  timeout_ms=10000 >/dev/null

traffic() {
  curl -sS "http://$one/metrics" |
    awk '/target="worker"/ && /bytes/ {sum += $2} END {print sum + 0}'
}
submit() {
  cli -s "$one" -o o -t t --workers 1 --accelerators 1 --expected 3600 \
    job submit long
}
running() {
  local n
  n=$(cli -s "$one" job list | jq '[.jobs[] | select(.state == "running")] | length')
  [ "$n" = "$1" ]
}

wait_until "jobs are accepted" submit
submitted=1
echo "| members | CPU of a core | resident | worker traffic |"
echo "|---|---|---|---|"
for members in 1 16 32 64; do
  while [ "$submitted" -lt "$members" ]; do
    submit >/dev/null
    submitted=$((submitted + 1))
  done
  wait_until "$members members run" running "$members" >&2
  sleep 3
  cpu=$(cpu_ms "$pid")
  bytes=$(traffic)
  sleep "$seconds"
  cpu=$(($(cpu_ms "$pid") - cpu))
  bytes=$(($(traffic) - bytes))
  rss=$(resident_mb "$pid")
  awk -v m="$members" -v c="$cpu" -v b="$bytes" -v r="$rss" -v n="$seconds" \
    'BEGIN {printf "| %d | %.2f%% | %s MB | %.0f B/s |\n", m, c / n / 10, r, b / n}'
done
