#!/usr/bin/env bash
# The regression runs before a landing: hunts, then scores, of each deployment that
# counts. The large deployments have taken the place of the first ones (sites/).
#   bench/regression.sh FLEETBENCH SYSTEM OUTPUT [JOBS]
# SYSTEM is the folder of the users' pages, OUTPUT gets a file for each run.
set -euo pipefail
bench=$1 system=$2 output=$3 jobs=${4:-6}
mkdir -p "$output"

# Days to hunt: 40, or 8 on deployments of 60 machines or more.
deployments=(
  newcomers/abay-billing-grown:8
  newcomers/okoorun-archive-grown:40
  shifted/gzebi-drift-now-grown:8
  large/gzebi-drift-large:8
  large/kfl-soeg-large:8
  further/trpoa-refill:40
  further-grown/trpoa-refill-grown:8
  grown/gzebi-drift-grown:8
  grown/kfl-soeg-grown:8
)

for entry in "${deployments[@]}"; do
  site=${entry%%:*} days=${entry##*:}
  log=$output/hunt-$(basename "$site").txt
  "$bench" hunt "$system/$site.toml" --days "$days" --jobs "$jobs" --why "regression: hunt" > "$log" 2>&1
  echo "$site: $(grep 'with a rule broken' "$log" || echo 'no result, see the log')"
done
for entry in "${deployments[@]}"; do
  site=${entry%%:*}
  log=$output/score-$(basename "$site").txt
  "$bench" score "$system/$site.toml" --jobs "$jobs" --why "regression: score" > "$log" 2>&1
  echo "$site"
  grep -E '^(quiet|trouble|scale|fresh)-|^GATE' "$log" || echo "no result, see the log"
done
