#!/usr/bin/env bash
# Plays the regression set on the users' bench and prints one table: full scores, then
# hunts. The site files are found by name below a folder.
#
#   scripts/regression.sh BENCH SITES [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 2 ]; then
  echo "usage: scripts/regression.sh BENCH SITES [JOBS]" >&2
  exit 2
fi
bench=$1 sites=$2 jobs=${3:-$(($(nproc) / 2))}

if [ ! -x "$bench" ] || [ ! -d "$sites" ]; then
  echo "scripts/regression.sh: $bench is not a program or $sites is not a folder" >&2
  exit 2
fi

# The set, with the days to hunt: 40 on each site, 8 on those of 60 entry VMs or more.
set_of_sites=(
  kskm-menus-grown:40
  tinkuy-bamboofall-grown:40
  gasbag-ledger-now-grown:40
  gasbag-ledger-large:8
  znmp-noc:40
  znmp-noc-grown:40
  gasbag-ledger-grown:40
  praf-bamboofall-grown:40
  gasbag-ledger:40
  praf-bamboofall:40
)

logs=$(mktemp -d)
echo "logs: $logs"
printf '%-24s %-12s %8s %8s %8s %8s\n' site day worth served refused failed
failed=0
for entry in "${set_of_sites[@]}"; do
  name=${entry%:*} days=${entry#*:}
  file=$(find "$sites" -name "$name.toml" -print -quit)
  if [ -z "$file" ]; then
    echo "$name: no site file below $sites" >&2
    exit 1
  fi
  "$bench" score "$file" --jobs "$jobs" --why "regression set: score" >"$logs/score-$name.txt" 2>&1 || failed=1
  awk -v site="$name" '$2 ~ /^[0-9]+\/[0-9]+$/ { printf "%-24s %-12s %8s %8s %8s %8s\n", site, $1, $4, $5, $6, $7 }' "$logs/score-$name.txt"
  grep '^GATE' "$logs/score-$name.txt" || { echo "$name: no verdict, see $logs/score-$name.txt"; failed=1; }
  if grep -q '^GATE failed' "$logs/score-$name.txt"; then failed=1; fi
  [ "$days" -gt 0 ] || continue
  "$bench" hunt "$file" --days "$days" --jobs "$jobs" --why "regression set: hunt" >"$logs/hunt-$name.txt" 2>&1 || failed=1
  if ! grep -E "days on .* with a rule broken" "$logs/hunt-$name.txt"; then
    echo "$name: the hunt did not end, see $logs/hunt-$name.txt"
    failed=1
  fi
  if ! grep -q ", 0 with a rule broken" "$logs/hunt-$name.txt"; then
    grep "the first that is wrong" "$logs/hunt-$name.txt" || true
    failed=1
  fi
done
exit $failed
