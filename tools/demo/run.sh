#!/usr/bin/env bash
# Starts stand-ins and instances in two zones on the loopback address, makes a
# team with a prepaid budget, and sends example requests.
#
# Usage: tools/demo/run.sh [directory of the environment's programs]
set -euo pipefail
cd "$(dirname "$0")/../.."

bin=$(realpath "${1:-.venv/bin}")
demo=tools/demo
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() { # start LOG PROGRAM ARGUMENTS...
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}

fill() { # fill TEMPLATE NAME=VALUE...
  local script=""
  for pair in "${@:2}"; do script+="s|@${pair%%=*}@|${pair#*=}|g;"; done
  sed "$script" "$demo/$1"
}

read -r store engine_a engine_b till a1 a2 b1 b2 \
  < <("$bin/python" $demo/free_ports.py 8)
read -r operator_key operator_hash < <("$bin/python" $demo/new_operator.py)
shared_key=$("$bin/python" -c 'import secrets; print(secrets.token_hex(32))')
urls=(http://127.0.0.1:{"$a1","$a2","$b1","$b2"})

echo "== Starting the stand-ins and four instances in two zones"
start store "$bin/python" -m bambooglade_standins.key_value --port="$store"
start engine-a "$bin/python" -m bambooglade_standins.engine \
  --port="$engine_a" --target_id=engine-a --zone=zone-a --model=critique
start engine-b "$bin/python" -m bambooglade_standins.engine \
  --port="$engine_b" --target_id=engine-b --zone=zone-b --model=critique
start till "$bin/python" -m bambooglade_standins.plain_service \
  --port="$till" --target_id=till-a
for instance in zone-a:1:$a1:$b1 zone-a:2:$a2:$a1 zone-b:1:$b1:$a1 \
  zone-b:2:$b2:$b1; do
  IFS=: read -r zone number port seed <<<"$instance"
  fill instance.toml.in NAME="$zone-$number" ZONE="$zone" PORT="$port" \
    SEED_PORT="$seed" KEY_VALUE_PORT="$store" SHARED_KEY="$shared_key" \
    OPERATOR_KEY_HASH="$operator_hash" >"$work/$zone-$number.toml"
  start "$zone-$number" "$bin/bambooglade" \
    --settings="$work/$zone-$number.toml"
done

show_logs() { tail -n 20 "$work"/*.log >&2; }
trap 'show_logs' ERR
"$bin/python" $demo/calls.py --wait "${urls[@]}"

export BAMBOOGLADE_URL=${urls[0]} BAMBOOGLADE_OPERATOR_KEY=$operator_key
echo "== Importing the rows and creating a team with 1000 prepaid tokens"
fill rows.toml.in ENGINE_A_PORT="$engine_a" ENGINE_B_PORT="$engine_b" \
  TILL_PORT="$till" >"$work/rows.toml"
"$bin/bamboogladectl" rows import "$work/rows.toml"
team_key=$("$bin/bamboogladectl" teams create hall-3 --tokens=1000 --json |
  "$bin/python" -c 'import json, sys; print(json.load(sys.stdin)["key"])')

echo "== Sending requests"
"$bin/python" $demo/calls.py "$team_key" "${urls[@]}"
echo "== Bills and balance"
"$bin/bamboogladectl" budgets show hall-3

echo "== Two gateways on the emulated users' platform"
"$bin/python" -m bambooglade_standins.users_platform.demo
