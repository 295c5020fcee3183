#!/usr/bin/env bash
# Plays the sweep of one deployment of each kind, checks the largest day, and writes the slopes into
# docs/CAPACITY.md, between its marks. Exit status 1 if a day at 300 machines breaks a rule or serves
# less than 0.7 of what the day at 30 does.
#
# Usage: FLEETBENCH=PROGRAM sweep.sh SITE.toml...   WHY="..." goes into the journal.
set -u
cd "$(dirname "$0")/.." || exit
: "${FLEETBENCH:?names the bench to play with}"
[ "$#" -gt 0 ] || { echo "usage: FLEETBENCH=PROGRAM sweep.sh SITE.toml..." >&2; exit 2; }
page=docs/CAPACITY.md
tables="$(mktemp)"
trap 'rm -f "$tables"' EXIT
failed=0

# The row of day $1 in the report $2.
row() {
    awk -v day="$1" '$1 == day && $2 ~ /\// { print; exit }' "$2"
}

for site in "$@"; do
    name="$(basename "$site" .toml)"
    report="$(mktemp)"
    "$FLEETBENCH" sweep "$site" --jobs 1 --why "${WHY:-sweep of $name}" >"$report" 2>&1
    largest="$(row sweep-300 "$report")"
    least="$(row sweep-30 "$report" | awk '{ print $5 }')"
    most="$(awk '{ print $5 }' <<<"$largest")"
    verdict=clean
    if [ -z "$least" ] || [ -z "$most" ]; then
        verdict="not played"
    elif grep -q 'BROKEN' <<<"$largest"; then
        verdict="rules broken"
    elif ! awk -v a="$most" -v b="$least" 'BEGIN { exit !(a >= 0.7 * b) }'; then
        verdict="serves too little"
    fi
    [ "$verdict" = clean ] || failed=1
    echo "$name: $verdict (served $least at 30, $most at 300)"
    {
        printf '\n### %s: %s\n\n' "$name" "$verdict"
        grep -E '^(day  |sweep-)' "$report" | grep -v 'is played' | sed 's/^/    /'
        printf '\n'
        sed -n '/^middle \/ busiest/,/^power:/p' "$report" | grep -v '^power:' | sed 's/^/    /'
    } >>"$tables"
    rm -f "$report"
done

awk -v tables="$tables" '
    /<!-- sweep begins -->/ { print; while ((getline line < tables) > 0) print line; skip = 1; next }
    /<!-- sweep ends -->/ { skip = 0; print "" }
    !skip { print }
' "$page" >"$page.new" && mv "$page.new" "$page"
exit "$failed"
