#!/usr/bin/env bash
# Compares the pages that list log events and settings with the tables in the
# code. With --write it regenerates the pages.
# Usage: scripts/check_reference_pages.sh [--write] [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
write=
if [ "${1:-}" = --write ]; then
  write=1
  shift
fi
build=${1:-build}
status=0

# Compares one page with the output of its generator, or regenerates it.
check_page() {
  local file=$1 program=$2
  if [ "$write" ]; then
    "$build/tools/$program" >"$file"
  elif ! diff "$file" <("$build/tools/$program"); then
    echo "$file differs from the code; run scripts/check_reference_pages.sh --write"
    status=1
  fi
}

check_page docs/log-events.md list_log_events
check_page docs/settings.md list_settings
exit $status
