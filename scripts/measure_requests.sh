#!/usr/bin/env bash
# Measures the CPU time of a daemon per request with real processes.
# Prints a table for docs/CAPACITY.md. Usage: scripts/measure_requests.sh
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
. scripts/cluster.sh

start_standin platform platform_standin
for i in $(seq 8); do
  start_standin "runner-$i" runner_standin
  add_vm "runner-$i" runner zone-1 rack-1
done
write_entry entry-1 zone-1 127.0.0.1:0 127.0.0.1:0
sed -i '/^\[timing\]/,$d' "$work/entry-1.toml"
start_entry entry-1
add_vm entry-1 entry zone-1 rack-e
publish_vms
one=${address_of_name[entry-1]}
pid=${pid_of[entry-1]}
cli -s "$one" settings set organisations/acme >/dev/null
cli -s "$one" settings set organisations/acme/teams/night >/dev/null
cli -s "$one" settings set classes/proof-render idempotent=true \
  max_wait_ms=5000 timeout_ms=5000 >/dev/null
cli -s "$one" settings set classes/kerf-check idempotent=false \
  max_wait_ms=5000 timeout_ms=5000 >/dev/null
sleep 5
echo "| requests (half of them non-idempotent) | CPU of the daemon | each |"
echo "|---|---|---|"
for calls in 100 200 400; do
  cpu=$(cpu_ms "$pid")
  "$build/tools/load_client" --servers "$one" --callers 16 --calls "$calls" \
    --operators 0 >"$work/load.jsonl"
  cpu=$(($(cpu_ms "$pid") - cpu))
  count=$(wc -l <"$work/load.jsonl")
  awk -v n="$count" -v c="$cpu" \
    'BEGIN {printf "| %d | %d ms | %.0f us |\n", n, c, 1000 * c / n}'
done
