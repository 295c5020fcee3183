#!/usr/bin/env bash
# Runs clang-tidy over the tree, or over the files named. Needs a configured build folder.
#
# A file is not checked again while nothing that clang-tidy reads for it has changed: its preprocessed
# text with comments, its compile command, the checks and clang-tidy itself. What was clean is noted in
# LINT_CACHE (by default below the user's cache folder); LINT_CACHE= checks every file.
set -eu
cd "$(dirname "$0")/.."
export build="${BUILD:-build}"
export cache="${LINT_CACHE-${XDG_CACHE_HOME:-$HOME/.cache}/guavavalve-lint}"
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'test/*.cpp' 'bench/*.cpp')
fi
[ "${#files[@]}" -eq 0 ] && exit 0
[ -z "$cache" ] || mkdir -p "$cache"
common="$(clang-tidy --version | sha256sum; sha256sum <.clang-tidy)"
export common

# Prints the key under which file $1 is noted; fails if the file is in no compile command.
keyOf() {
    local command
    command="$(grep -F -B 1 "\"file\": \"$PWD/$1\"" "$build/compile_commands.json" \
        | sed -n 's/^ *"command": "\(.*\)",$/\1/p' | sed 's/ -o [^ ]* -c / -E -C -w /; s/\\"/"/g')"
    [ -n "$command" ] || return 1
    { echo "$common $command"; (cd "$build" && bash -c "$command" 2>/dev/null) || return 1; } \
        | sed "s|$PWD||g" | sha256sum | cut -d ' ' -f 1
}

lintFile() {
    local key=""
    if [ -n "$cache" ] && key="$(set -o pipefail; keyOf "$1")" && [ -e "$cache/$key" ]; then
        return 0
    fi
    clang-tidy -p "$build" --quiet "$1" 2>/dev/null || return 1
    [ -z "$key" ] || : >"$cache/$key"
}
export -f keyOf lintFile

printf '%s\0' "${files[@]}" \
    | xargs -0 -n 1 -P "${JOBS:-$(nproc)}" bash -c 'lintFile "$1"' lint
echo "lint: ${#files[@]} files clean"
