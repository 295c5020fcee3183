#!/usr/bin/env bash
# Measures the request path on a cell of three entries and four stand-in targets: added latency
# and requests a second against a target asked directly, and the pause across a killed controller.
# Usage: benchpath.sh BUILD_FOLDER. QUICK=1 makes the phases short.
set -u
cd "$(dirname "$0")/.." || exit
build="${1:-build}"
length=5000
[ "${QUICK:-0}" = 1 ] && length=1500
source scripts/cell.sh

start_entries
form_and_configure
start_targets
as_operator targets list --output=json >"$folder/targets.json"
direct="$(grep -oE '"address": *"[^"]*"' "$folder/targets.json" | head -1 | sed 's/.*"\([^"]*\)"$/\1/')"
incarnation="$(grep -oE '"incarnation": *[0-9]+' "$folder/targets.json" | head -1 | grep -oE '[0-9]+$')"
[ -n "$direct" ] && [ -n "$incarnation" ] || fail "the targets' list names no address"
echo "machine: $(nproc) cores, load $(cut -d' ' -f1 /proc/loadavg)"
"$build/pathbench" "--entries=$servers" "--target=$direct" "--incarnation=$incarnation" "--key=$floor_key" \
    "--length_ms=$length" --rate=200

leader="$(as_operator replicas status | sed -n 's/^leader \([^,]*\),.*/\1/p')"
[ -n "${pids[$leader]:-}" ] || fail "nobody knows who leads"
left=()
for i in 0 1 2; do [ "entry-${domains[$i]}" = "$leader" ] || left+=("${entries[$i]}"); done
echo "killing the controller, $leader, 1 s into the next phase; load goes to the other entries"
(sleep 1; kill -KILL "${pids[$leader]}") &
"$build/pathbench" "--entries=${left[0]},${left[1]}" "--target=$direct" "--incarnation=$incarnation" "--key=$floor_key" \
    --length_ms=6000 --rate=100 --only=open-all-entries
