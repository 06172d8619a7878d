#!/usr/bin/env bash
# Runs the entry daemons and the stand-ins as separate processes and injects
# process faults: SIGKILL, SIGSTOP for longer than fencing and takeover last, and
# SIGTERM under load. Fails if the stand-ins counted a violated guarantee. Takes
# about a minute.
set -euo pipefail
cd "$(dirname "$0")/.."

config=${1:-examples/gasbag.ini}
span=${2:-60s}
work=$(mktemp -d)
declare -A pids
pids[standin]=0
finish() {
  for pid in "${pids[@]}"; do [ "$pid" -gt 0 ] || continue; kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

go build -o "$work/" ./cmd/bamboofall ./cmd/standin
"$work/standin" --config "$config" --settings "$work" --for "$span" >"$work/summary.json" 2>"$work/standin.log" &
standin=$!
pids[standin]=$standin

start() {
  "$work/bamboofall" entry --config "$work/$1.ini" 2>>"$work/$1.log" &
  pids[$1]=$!
}

for _ in $(seq 100); do
  [ "$(ls "$work" | grep -c '^entry-.*ini$')" -ge 8 ] && break
  kill -0 "$standin" || { cat "$work/standin.log"; exit 1; }
  sleep 0.1
done
sleep 0.5
for settings in "$work"/entry-*.ini; do start "$(basename "$settings" .ini)"; done

sleep 15
echo "SIGKILL entry-01, restart after 5 s"
kill -KILL "${pids[entry-01]}"
sleep 5
start entry-01
sleep 5
echo "SIGSTOP entry-02 for 15 s"
kill -STOP "${pids[entry-02]}"
sleep 15
kill -CONT "${pids[entry-02]}"
echo "SIGTERM entry-03 under load, restart after it has stopped"
kill -TERM "${pids[entry-03]}"
if wait "${pids[entry-03]}"; then echo "entry-03 shut down gracefully"; fi
start entry-03

status=0
wait "$standin" || status=$?
cat "$work/summary.json"
grep -c . "$work/standin.log" >/dev/null && tail -n 3 "$work/standin.log"
exit "$status"
