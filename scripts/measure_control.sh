#!/usr/bin/env bash
# Measures the control overhead of an idle daemon with real processes: CPU time,
# memory and bytes of the first daemon, for several sizes of fleet, settings and
# number of daemons. Prints a table for docs/CAPACITY.md.
# Usage: scripts/measure_control.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
seconds=${1:-20}

# Prints a traffic counter, summed over the platform and the workers.
total_bytes() {
  curl -sS "http://$1/metrics" | awk -v name="cornelrudder_http_$2_bytes_total" \
    'index($1, name) == 1 && $1 !~ /runner/ {sum += $2} END {print sum + 0}'
}

# Usage: measure DAEMONS WORKERS TEAMS
measure() (
  daemons=$1
  workers=$2
  teams=$3
  . scripts/cluster.sh
  start_standin platform platform_standin
  for i in $(seq "$daemons"); do
    write_entry "entry-$i" zone-1 127.0.0.1:0 127.0.0.1:0 "${peer_of[entry-1]:-}"
    # Uses the production timing instead of that of the tests.
    sed -i '/^\[timing\]/,$d' "$work/entry-$i.toml"
    start_entry "entry-$i"
    add_vm "entry-$i" entry zone-1 rack-e
  done
  # These workers have no process; only their list entries matter here.
  for i in $(seq "$workers"); do
    vms+=("{\"id\":\"worker-$i\",\"role\":\"worker\",\"address\":\"127.0.0.1:9\",\"region\":\"region-1\",\"zone\":\"zone-1\",\"rack\":\"rack-$((i / 8))\",\"accelerators\":1}")
  done
  publish_vms
  one=${address_of_name[entry-1]}
  cli -s "$one" settings set organisations/o >/dev/null
  for i in $(seq "$teams"); do
    cli -s "$one" settings set "organisations/o/teams/team-$i" \
      max_accelerators=64 max_queued_jobs=100 >/dev/null
  done
  sleep 15
  pid=${pid_of[entry-1]}
  cpu=$(cpu_ms "$pid")
  sent=$(total_bytes "$one" sent)
  received=$(total_bytes "$one" received)
  sleep "$seconds"
  cpu=$(($(cpu_ms "$pid") - cpu))
  sent=$(($(total_bytes "$one" sent) - sent))
  received=$(($(total_bytes "$one" received) - received))
  rss=$(resident_mb "$pid")
  awk -v d="$daemons" -v w="$workers" -v t="$teams" -v c="$cpu" -v s="$sent" \
    -v r="$received" -v m="$rss" -v n="$seconds" 'BEGIN {
    printf "| %d | %d | %d | %.3f%% | %s MB | %.0f B/s | %.0f B/s |\n",
      d, w, t, c / n / 10, m, s / n, r / n }'
)

echo "| daemons | workers | teams | CPU of a core | resident | sent | received |"
echo "|---|---|---|---|---|---|---|"
measure 1 50 10
measure 3 50 10
measure 9 50 10
measure 9 700 10
measure 9 700 58
