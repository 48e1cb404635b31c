#!/usr/bin/env bash
# Prepares what the scripts in review/11 and up start beside the daemons of the
# deploy file. Their stand-ins are Python without packages, so that there is
# nothing to compile; this checks that this Python can read them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "python3 3.11 or later is needed" >&2
  exit 1
}
for file in review/platform-3.py review/1[1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
daemon=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
[ -x "$daemon" ] || {
  echo "$daemon is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
