#!/usr/bin/env bash
# Installs into a temporary folder and builds a separate project against it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/prefix" >/dev/null
cmake -S examples/embedding -B "$work/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$work/prefix" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/choose_runner"
