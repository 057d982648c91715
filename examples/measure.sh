#!/usr/bin/env bash
# Starts the stand-in platform, one engine, one agent and one entry, waits until they have settled,
# and measures the CPU and memory of the entry and the agent: idle, before and after a version is
# deployed, or while streaming with a version.
# Usage: measure.sh FOLDER idle|stream [HIBISCUSTRAY] [SECONDS]
set -euo pipefail
example=$(cd "$1" && pwd)
load=$2
command=${3:-hibiscustray}
seconds=${4:-20}
python=${PYTHON:-python3}
settings=$example/settings
operator=$settings/operator.ini
logs=$example/run/logs
pids=()

stop_processes() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 2
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_processes EXIT

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
# Lists only the VMs that this script starts; the others would be reported as failed.
"$python" - "$settings/platform.ini" "$example/run/platform.ini" "${agent#agent-}" entry-0 <<'EOF'
import configparser
import sys

source, target, *names = sys.argv[1:]
parser = configparser.ConfigParser(interpolation=None)
parser.optionxform = str
parser.read(source)
for title in parser.sections():
    if title.startswith("machine ") and title.split()[1] not in names:
        parser.remove_section(title)
with open(target, "w") as out:
    parser.write(out)
EOF
start platform standin platform --settings "$example/run/platform.ini"
start "$engine" standin engine --settings "$settings/$engine.ini"
start "$agent" agent --settings "$settings/$agent.ini"
agent_pid=${pids[-1]}
start entry-0 entry --settings "$settings/entry-0.ini"
entry_pid=${pids[-1]}
sleep 6
processes=(--entry-pid "$entry_pid" --agent-pid "$agent_pid")

measure_idle() { # LABEL
  if [ "$load" != idle ]; then return; fi
  echo "$1:" >&2
  $command bench idle "${processes[@]}" --seconds "$seconds" --json
}

measure_stream() {
  sed -n '2s/.* = //p' "$example/run/keys.ini" >"$example/run/team.key"
  local port service
  port=$(sed -n 's/^http_port = //p' "$settings/entry-0.ini")
  service=$(sed -n 's/^service = //p' "$settings/$agent.ini")
  $command bench stream "${processes[@]}" --seconds "$seconds" --json --service "$service" \
    --entry-url "http://127.0.0.1:$port" --team-key "$example/run/team.key" --streams 8
}

measure_idle "before any version"
digest=$($command publish --settings "$operator" --path model/1 "$example/run/model-1.bin")
$command apply --settings "$operator" "$example/deployment.py" version-1 "$digest" >&2
for _ in $(seq 60); do
  if grep -q "weights active" "$logs/$agent.log"; then break; fi
  sleep 0.5
done
sleep 3
measure_idle "with a version of 16 MiB in the agent's memory"
if [ "$load" = stream ]; then measure_stream; fi
