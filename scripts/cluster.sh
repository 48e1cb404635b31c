# Functions that start and stop a whole system on free loopback ports. Other
# scripts source this file and set $build to the build folder first.

work=$(mktemp -d)
declare -A pid_of address_of_name peer_of
vms=()

# Stops only the processes that this script started.
stop_cluster() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "${KEEP_LOGS:-}" ]; then
    echo "logs: $work"
  else
    rm -rf "$work"
  fi
}
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*" >&2
  tail -n 3 "$work"/*.log >&2 || true
  exit 1
}

# Waits until a command succeeds; fails after a generous time-out.
wait_until() {
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then
      echo "ok: $what"
      return
    fi
    sleep 0.1
  done
  fail "$what"
}

# Fails unless a response has the expected text.
expect() {
  local what=$1 wanted=$2 got=$3
  case "$got" in
    *"$wanted"*) echo "ok: $what" ;;
    *) fail "$what: wanted $wanted, got $got" ;;
  esac
}

# Starts a program; its log is $work/NAME.log, which exists from then on.
start() {
  local name=$1
  shift
  touch "$work/$name.log"
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
}

# Waits for a line in a program's log and stores the address found in it.
# Usage: await_address NAME PATTERN [LOG]
await_address() {
  local name=$1 pattern=$2 log=${3:-$1} address
  for _ in $(seq 1200); do
    # The log may not exist yet; with pipefail, sed would end the script.
    address=$(sed -n "s/$pattern/\1/p" "$work/$log.log" 2>/dev/null |
      tail -n 1) || true
    if [ -n "$address" ]; then
      address_of_name[$name]=$address
      return
    fi
    sleep 0.05
  done
  fail "$name did not report its address"
}

start_standin() {
  local name=$1 program=$2
  start "$name" "$build/tools/$program"
  await_address "$name" '^listening on \(.*\)$'
}

# Adds a VM to the list that publish_vms sends to the platform.
add_vm() {
  local id=$1 role=$2 zone=$3 rack=$4 accelerators=${5:-0}
  vms+=("{\"id\":\"$id\",\"role\":\"$role\",\"address\":\"${address_of_name[$id]}\",\"region\":\"region-1\",\"zone\":\"$zone\",\"rack\":\"$rack\",\"accelerators\":$accelerators}")
}

# Prints the list of added VMs.
list_vms() {
  local list
  list=$(IFS=,; echo "${vms[*]}")
  echo "{\"vms\":[$list]}"
}

# Sends the VM list on standard input to the platform.
put_vms() {
  curl -sSf -X PUT "http://${address_of_name[platform]}/vms" -d @- >/dev/null
}

publish_vms() {
  list_vms | put_vms
}

# Writes the settings file of a daemon.
# Usage: write_entry NAME ZONE HTTP PEER [SEED]
write_entry() {
  local name=$1 zone=$2 http=$3 peer=$4 seed=${5:-}
  cat >"$work/$name.toml" <<TOML
[daemon]
id = "$name"
region = "region-1"
zone = "$zone"
http_address = "$http"
peer_address = "$peer"
seeds = [${seed:+\"$seed\"}]

[platform]
address = "${address_of_name[platform]}"

[timing]
poll_ms = 200
heartbeat_ms = 200
lease_ms = 3000
drain_notice_ms = 200
TOML
}

start_entry() {
  local name=$1
  start "$name" "$build/apps/cornelrudderd" --config "$work/$name.toml"
  await_address "$name" '.*name=started .*peer=\([0-9.:]*\).*'
  peer_of[$name]=${address_of_name[$name]}
  await_address "$name" '.*name=started http=\([0-9.:]*\).*'
}

# Sets the fault switches of a stand-in. Usage: set_faults NAME JSON
set_faults() {
  curl -sS -m 5 -X PUT "http://${address_of_name[$1]}/faults" -d "$2" >/dev/null ||
    true
}

# Prints user and system time of a process in milliseconds.
cpu_ms() {
  local ticks
  ticks=$(awk '{print $14 + $15}' "/proc/$1/stat")
  echo $((ticks * 1000 / $(getconf CLK_TCK)))
}

# Prints the resident memory of a process in MB.
resident_mb() {
  awk '/^VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"
}

cli() { "$build/apps/cornelrudder" "$@"; }
