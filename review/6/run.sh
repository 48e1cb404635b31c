#!/usr/bin/env bash
# The owner freezes for 1.9 s as the answer to its write is on its way. Another
# daemon takes over; the worker of the planned subtask restarts meanwhile. The
# former owner wakes and starts the subtask there, while it runs elsewhere.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
. "$here/../6/lib.sh"

job=5c0e7a21d94b36f8
start_platform 7
for n in 1 2 3 4 5 6; do
  start_daemon "$n"
  echo "${pid_of[daemon-$n]}" >"$work/pid-$n"
done
sleep 3

[ "$trouble" != 0 ] && control "/trap/$job"
spec='{\"work_ms\":8000}'
call POST /usual/$job "{\"spec\":\"$spec\",\"steps\":[{\"count\":1,\"cpu\":26000,\"mem-mb\":110000,\"gpu\":8,\"estimate-ms\":8000}]}"
[ "$status" = 200 ] || cannot_run "the job was not accepted"
sleep 5
for event in "TWICE $job" "told to start $job" "is stopped as" "goes on" "new boot"; do
  grep "$event" "$work/platform.log"
done | sort -u | cut -c1-150 | while read -r line; do note "$line"; done
for _ in $(seq 40); do
  call GET /usual/$job
  case $body in *done*) break ;; esac
  sleep 0.5
done
note "the job: $body"
if [ "$trouble" != 0 ]; then
  grep -q "is stopped as" "$work/platform.log" || cannot_run "the owner was not stopped"
fi
grep -q "TWICE $job" "$work/platform.log" &&
  broken "TWICE: two runs of one subtask at the same time, on workers that are up"
held "one run at a time"
