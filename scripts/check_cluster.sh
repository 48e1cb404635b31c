#!/usr/bin/env bash
# Checks that await_address of scripts/cluster.sh waits for a process whose log
# does not exist yet, instead of ending the calling script.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh

write_late() {
  sleep 0.3
  echo "listening on 127.0.0.1:1" >"$work/late.log"
}

write_late &
await_address late '^listening on \(.*\)$'
expect "address from a late log" 127.0.0.1:1 "${address_of_name[late]}"
start prompt echo "listening on 127.0.0.1:2"
expect "log exists after start" "prompt.log" "$(ls "$work")"
await_address prompt '^listening on \(.*\)$'
expect "address from a log" 127.0.0.1:2 "${address_of_name[prompt]}"
