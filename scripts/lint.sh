#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over the given files.
# Results of unchanged files are cached in LINT_CACHE (default BUILD_DIR/lint),
# keyed by the preprocessed text and the configuration.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
jobs=${LINT_JOBS:-$(nproc)}
export LINT_CACHE=${LINT_CACHE:-$PWD/$build/lint}
mkdir -p "$LINT_CACHE"

lint_one() {
  local build=$1 file=$2 key command
  command=$(jq -r --arg f "$PWD/$file" \
    '[.[] | select(.file == $f)][0].command // empty' \
    "$build/compile_commands.json")
  [ -n "$command" ] || { echo "$file: not in compile_commands.json"; exit 1; }
  command=${command#*ccache }
  key=$( (cat .clang-tidy; eval "${command%% -o *} -E $file" | grep -v '^#') |
    sha256sum | cut -c1-40)
  [ -e "$LINT_CACHE/$key" ] && return 0
  clang-tidy -p "$build" --quiet "$file" 2>/dev/null && touch "$LINT_CACHE/$key"
}
export -f lint_one

if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
else
  files=("$@")
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -P "$jobs" -I{} bash -c 'lint_one "$@"' _ "$build" {}
