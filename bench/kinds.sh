#!/usr/bin/env bash
# Plays a day for each line of kinds.txt, with the disruption early, twice close
# together, and late, and prints one line a day: result, worth, worst windows.
#   bench/kinds.sh FLEETBENCH SITE [PARALLEL]
set -euo pipefail
bench=$1 site=$2 parallel=${3:-4}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

day() { # list kind variant fields number
  local variant=${3//_/ } fields=$4 entries="" at
  [ "$fields" = "-" ] && fields=""
  for at in 1.0 13.0 15.0 27.0; do
    entries+="  { at = $at, kind = \"$2\""
    [ "$3" = "-" ] || entries+=", how = \"$variant\""
    [ -z "$fields" ] || entries+=", $fields"
    entries+=" },"$'\n'
  done
  local other=plan
  [ "$1" = plan ] && other=faults
  printf '[[day]]\nname = "own"\nslot = "trouble"\nseed = %d\none = 0.8\nzero = 0.3\ngoal = { floor = 0.3 }\nlabels = []\n%s = [\n%s]\n%s = []\n' \
    "$((1000 + $5))" "$1" "$entries" "$other"
}

number=0
grep -v '^#' "$here/kinds.txt" | while read -r list kind variant fields; do
  number=$((number + 1))
  day "$list" "$kind" "$variant" "$fields" "$number" > "$work/$(printf '%03d' "$number")-$kind-$variant.toml"
done

play() {
  local file=$1 name result
  name=$(basename "$file" .toml)
  result=$("$bench" run "$site" "$file" --why "each kind early, twice and late: ${name#*-}" 2>&1 || true)
  printf '%-36s %s\n' "${name#*-}" "$(grep -m1 -E '^own ' <<< "$result" | cut -c24- || true)$(grep -iE 'broken|fault:|can.t be read' <<< "$result" | grep -v 'worth broken' | head -2 | tr '\n' ' ' || true)"
}
export -f play
export bench site
find "$work" -name '*.toml' | sort | xargs -P "$parallel" -I{} bash -c 'play {}'
