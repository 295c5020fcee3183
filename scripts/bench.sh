#!/usr/bin/env bash
# Runs every measurement, one after the other. Usage: bench.sh BUILD_FOLDER. QUICK=1 shortens them.
set -u
cd "$(dirname "$0")/.." || exit
build="${1:-build}"
options=()
[ "${QUICK:-0}" = 1 ] && options=(--quick)
echo "machine: $(nproc) cores, $(awk '/MemTotal/ {printf "%.0f GB", $2 / 1e6}' /proc/meminfo), load $(cut -d' ' -f1 /proc/loadavg)"
failed=0
for name in decisions state replicas; do
    program="$build/${name}bench"
    [ -x "$program" ] || continue
    echo "== $name"
    "$program" "${options[@]}" || failed=1
done
echo "== cell"
bash scripts/benchcell.sh "$build" || failed=1
echo "== path"
bash scripts/benchpath.sh "$build" || failed=1
exit "$failed"
