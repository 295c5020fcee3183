#!/usr/bin/env bash
# Formats the tree (no argument), or reports what is not formatted (--check).
set -eu
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' \
    'platform/*.cpp' 'platform/*.h' 'test/*.cpp' 'test/*.h' 'bench/*.cpp' 'bench/*.h' | while read -r f; do [ -f "$f" ] && echo "$f"; done)
[ "${#files[@]}" -eq 0 ] && exit 0
if [ "${1:-}" = "--check" ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
