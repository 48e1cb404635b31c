#!/usr/bin/env bash
# Plays the case with the built daemon and the stand-in of review/build.sh.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for program in target/apps/cornelrudderd target/review/cases; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 target/review/cases late-submission target/apps/cornelrudderd "$work" \
  "$here/record.txt" "${TROUBLE:-1}"
status=$?
tail -n 1 "$here/record.txt"
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
