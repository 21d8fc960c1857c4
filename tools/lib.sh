# Functions for scripts that start processes: each is known by a name, and ended
# by its process id only. Source it, then set `logs` to a folder.

declare -A pids=()

# start_process NAME COMMAND...: standard output and error go to $logs/NAME.log
start_process() {
  local name="$1"
  shift
  "$@" >>"$logs/$name.log" 2>&1 &
  pids[$name]=$!
}

# wait_for_line NAME PATTERN: prints the first line of the log that matches
wait_for_line() {
  local name="$1" pattern="$2" tries=0
  until grep -m1 -E "$pattern" "$logs/$name.log" 2>/dev/null; do
    tries=$((tries + 1))
    if [ "$tries" -gt 400 ] || ! kill -0 "${pids[$name]}" 2>/dev/null; then
      echo "$name did not write \"$pattern\":" >&2
      tail -n 5 "$logs/$name.log" >&2
      return 1
    fi
    sleep 0.05
  done
}

# port_of NAME PORT-NAME: the port that a stand-in said it listens on
port_of() {
  wait_for_line "$1" "^READY $2 " | awk '{print $3}'
}

# signal_process NAME SIGNAL
signal_process() {
  kill -s "$2" "${pids[$1]}"
}

# stop_process NAME: asks it to stop, waits, and returns its exit code
stop_process() {
  local pid="${pids[$1]}"
  unset "pids[$1]"
  kill -s TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

# kill_process NAME: ends it at once, as a dying VM does
kill_process() {
  local pid="${pids[$1]}"
  unset "pids[$1]"
  kill -s KILL "$pid"
  wait "$pid" 2>/dev/null || true
}

# kill_all: for the exit trap
kill_all() {
  local name
  for name in "${!pids[@]}"; do
    kill_process "$name"
  done
}

# free_ports N: N ports of 127.0.0.1 that are free for TCP and UDP
free_ports() {
  python3 - "$1" <<'PYTHON'
import socket
import sys

held = []
while len(held) < 2 * int(sys.argv[1]):
    tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    tcp.bind(("127.0.0.1", 0))
    try:
        udp.bind(tcp.getsockname())
    except OSError:
        continue
    held += [tcp, udp]
    print(tcp.getsockname()[1])
PYTHON
}

# eventually SECONDS COMMAND...: repeats the command until it succeeds
eventually() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ]; then
      return 1
    fi
    sleep 0.1
  done
}
