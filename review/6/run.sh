#!/usr/bin/env bash
# Two workers crash, one after the other, and come back at once. A job whose
# only subtask ran there is given up as failed, though no run of it has failed.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-2/lib.sh"

job=5c0e7a21d94b36f8
workers=7
start_platform $workers
for n in 1 2 3; do start_daemon "$n"; done
sleep 3

spec='{\"work_ms\":6000}'
call POST /usual/$job "{\"spec\":\"$spec\",\"steps\":[{\"count\":1,\"cpu\":26000,\"mem-mb\":110000,\"gpu\":8,\"estimate-ms\":6000}]}"
[ "$status" = 200 ] || cannot_run "the job was not accepted"

for crash in 1 2; do
  for _ in $(seq 100); do
    worker=$(worker_of $job.0.0.0)
    [ -n "$worker" ] && break
    sleep 0.1
  done
  [ -n "$worker" ] || break
  note "worker $worker runs the subtask"
  sleep 2
  if [ "$trouble" != 0 ]; then
    control "/crash/$worker/800"
    note "crash $crash: worker $worker, which is back after 0.8 s"
    sleep 0.2
  fi
done

for _ in $(seq 60); do
  sleep 0.5
  call GET /usual/$job
  case $body in
    *done*) held "the job is done" ;;
    *failed*)
      failed=$(grep -c "ends $job.0.0.0 run [0-9]* failed" "$work/platform.log")
      [ "$failed" -lt 2 ] &&
        broken "LOST: the job is shown as failed; its queue allows 2 attempts, and $failed runs have ended failed"
      held "the job has failed twice"
      ;;
  esac
done
held "the job goes on"
