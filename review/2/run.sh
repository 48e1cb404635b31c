#!/usr/bin/env bash
# Plays the case with the built daemon and the stand-in of review/build.sh.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for program in target/apps/cornelrudderd target/review/case-2; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
work=$(mktemp -d)
timeout -k 2 115 target/review/case-2 target/apps/cornelrudderd "$work" \
  "$here/record.txt" "${TROUBLE:-1}" &
pid=$!
# The daemons end with the program of the case.
trap '[ -z "$pid" ] || { kill "$pid"; wait "$pid"; }; rm -rf "$work"' EXIT
trap 'exit 2' TERM INT HUP
wait "$pid"
status=$?
pid=
tail -n 1 "$here/record.txt"
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
