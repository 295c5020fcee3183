#!/usr/bin/env bash
# Runs clang-tidy over the tree, or over the files named. Needs a configured build folder.
set -eu
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'test/*.cpp' 'bench/*.cpp')
fi
[ "${#files[@]}" -eq 0 ] && exit 0
printf '%s\0' "${files[@]}" \
    | xargs -0 -n 2 -P "${JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files clean"
