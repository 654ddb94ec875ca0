#!/usr/bin/env bash
# Runs the standing test of a whole fleet and the earlier regression test, before a landing. Prints the lines about GATE, rules and days,
# each score and its change since the last landing (docs/ROADMAP.md). Exits with 1 if the standing test fails or a score fell by more
# than 0.03.
#
#   deploy/standing.sh [--full] [--why TEXT] BENCH
#
# BENCH is the directory of the operators' bench, with BENCH/more/mass/bin/lbreal, BENCH/real/bin/lbreal and BENCH/sites/. Run nothing else
# on the machine meanwhile and don't change the sources.
set -uo pipefail
usage() { sed -n 's/^#   //p' "$0" >&2; exit 2; }
full='' why='before a landing' bench=''
while [ $# -gt 0 ]; do
  case $1 in
    --full) full=1 ;;
    --why) [ $# -gt 1 ] || usage; why=$2; shift ;;
    -*) usage ;;
    *) [ -z "$bench" ] || usage; bench=$1 ;;
  esac
  shift
done
[ -n "$bench" ] || usage
bench=$(cd "$bench" && pwd) || exit 2
cd "$(dirname "$0")/.."
roadmap=${ROADMAP:-docs/ROADMAP.md}
site=$bench/sites/seoul-profile.toml
kind=${full:+full}
kind=${kind:-quick}

# Prints the latest score of a kind (quick or full) from a column of the roadmap's landing table. A cell may contain both
# kinds: "quick 1.000, full 0.991".
last() {
  awk -F'|' -v name="$1" -v kind="$2" '
    /^\| *landing *\|/ { for (i = 1; i <= NF; i++) { cell = $i; gsub(/^ +| +$/, "", cell); if (cell == name) column = i } next }
    column && /^\|/ && match($column, kind " [0-9]+\\.[0-9]+") {
      found = substr($column, RSTART + length(kind) + 1, RLENGTH - length(kind) - 1) }
    column && !/^\|/ { column = 0 }
    END { print found }' "$roadmap"
}

bad=0
# play NAME PROGRAM SCORE_LABEL: runs the program and compares its score with that of the last landing.
play() {
  local out before now
  out=$(mktemp)
  "$2" score "$site" $([ -n "$full" ] || echo --quick) --why "$why" >"$out" 2>&1
  local code=$?
  now=$(sed -n "s/^$3 \([0-9.]*\).*/\1/p" "$out" | tail -n 1)
  before=$(last "$1" "$kind")
  grep -E '^(GATE|[^ ]+ .* score )|broke|rule' "$out" | sed "s/^/$1: /"
  if [ -z "$now" ] || [ "$code" -ne 0 ]; then
    tail -n 5 "$out"
    echo "$1: no score, ended with $code"
    bad=1
  else
    echo "$1: $kind $now, $(awk -v now="$now" -v before="${before:-}" 'BEGIN {
      if (before == "") print "no figure before"; else printf "%+.3f since the last landing (%s)", now - before, before }')"
    awk -v now="$now" -v before="${before:-0}" 'BEGIN { exit !(before - now > 0.03 + 1e-9) }' && {
      echo "$1: fell by more than 0.03"
      bad=1
    }
  fi
  if [ "$1" = standing ] && ! grep -q '^GATE passed' "$out"; then
    echo "standing: the gate is not passed"
    bad=1
  fi
  rm -f "$out"
}

play standing "$bench/more/mass/bin/lbreal" 'score of the real nodes'
play lbreal "$bench/real/bin/lbreal" 'score of the real nodes'
exit $bad
