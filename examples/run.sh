#!/usr/bin/env bash
# Runs one example with all its processes on loopback: rolls out a second version while callers
# send requests, prints the fault counts and stops every process that it has started.
# Usage: run.sh FOLDER [HIBISCUSTRAY]
set -euo pipefail
example=$(cd "$1" && pwd)
command=${2:-hibiscustray}
python=${PYTHON:-python3}
settings=$example/settings
operator=$settings/operator.ini
logs=$example/run/logs
pids=()

stop_processes() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 100); do
    local running=0
    for pid in "${pids[@]}"; do if kill -0 "$pid" 2>/dev/null; then running=1; fi; done
    if [ "$running" = 0 ]; then break; fi
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_processes EXIT

start() { # NAME ARGUMENTS...
  local name=$1
  shift
  $command "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
}

wait_for_status() {
  for _ in $(seq 60); do
    if $command status --settings "$operator" >"$logs/status.out" 2>&1; then return 0; fi
    sleep 0.5
  done
  cat "$logs/status.out"
  return 1
}

roll_out() { # NUMBER
  local digest
  digest=$($command publish --settings "$operator" --path "model/$1" "$example/run/model-$1.bin")
  $command apply --settings "$operator" --wait 60 "$example/deployment.py" "version-$1" "$digest"
}

mkdir -p "$logs"
"$python" "$(dirname "$0")/make_secrets.py" "$example"
start platform standin platform --settings "$settings/platform.ini"
for file in "$settings"/engine-*.ini; do
  start "$(basename "$file" .ini)" standin engine --settings "$file"
done
for file in "$settings"/service-*.ini; do
  start "$(basename "$file" .ini)" standin service --settings "$file"
done
for file in "$settings"/agent-*.ini; do
  start "$(basename "$file" .ini)" agent --settings "$file"
done
for file in "$settings"/entry-*.ini; do
  start "$(basename "$file" .ini)" entry --settings "$file"
done
wait_for_status
roll_out 1
$command standin callers --settings "$settings/callers.ini" >"$logs/callers.out" 2>"$logs/callers.log" &
callers=$!
pids+=("$callers")
sleep 4
roll_out 2
sleep 3
$command status --settings "$operator"
kill -TERM "$callers"
code=0
wait "$callers" || code=$?
cat "$logs/callers.log" "$logs/callers.out"
exit "$code"
