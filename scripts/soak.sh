#!/usr/bin/env bash
# Runs the history check with N consecutive seeds.
# Usage: scripts/soak.sh N [FIRST]
set -uo pipefail
cd "$(dirname "$0")/.."
count=${1:?the number of seeds is required}
first=${2:-100}
passed=0
failed=0
for seed in $(seq "$first" $((first + count - 1))); do
  if scripts/history.sh "$seed"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: seed $seed"
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
