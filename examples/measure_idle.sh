#!/usr/bin/env bash
# Starts the platform's stand-in, one engine, one agent and one entry, lets them come to rest with
# a version in force, and measures what the idle entry and agent take.
# Usage: measure_idle.sh FOLDER [HIBISCUSTRAY] [SECONDS]
set -euo pipefail
example=$(cd "$1" && pwd)
command=${2:-hibiscustray}
seconds=${3:-20}
python=${PYTHON:-python3}
settings=$example/settings
operator=$settings/operator.ini
logs=$example/run/logs
pids=()

finish() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 2
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap finish EXIT

start() { # NAME ARGUMENTS...
  local name=$1
  shift
  $command "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
}

mkdir -p "$logs"
"$python" "$(dirname "$0")/make_secrets.py" "$example"
engine=$(basename "$(ls "$settings"/engine-*-0.ini)" .ini)
agent=agent-${engine#engine-}
start platform standin platform --settings "$settings/platform.ini"
start "$engine" standin engine --settings "$settings/$engine.ini"
start "$agent" agent --settings "$settings/$agent.ini"
agent_pid=${pids[-1]}
start entry-0 entry --settings "$settings/entry-0.ini"
entry_pid=${pids[-1]}
sleep 6
measure() { $command bench idle --entry-pid "$entry_pid" --agent-pid "$agent_pid" --seconds "$seconds" --json; }
echo "before any version:" >&2
measure
digest=$($command publish --settings "$operator" --path model/1 "$example/run/model-1.bin")
$command apply --settings "$operator" "$example/deployment.py" version-1 "$digest" >&2
for _ in $(seq 60); do
  if grep -q "weights active" "$logs/$agent.log"; then break; fi
  sleep 0.5
done
sleep 3
echo "with a version of 16 MiB in the agent's memory:" >&2
measure
