#!/usr/bin/env bash
# Checks that each test that docs/PROOFS.md names (between `test:` and a closing backtick) exists: a
# title in the tests' sources, or for "scenario-NAME" the story of that name.
set -eu
cd "$(dirname "$0")/.."
[ -f docs/PROOFS.md ] || exit 0
exists() {
    case "$1" in
    scenario-*) [ -f "test/scenarios/stories/${1#scenario-}.story" ] ;;
    *) grep -rqF --include='*.cpp' -- "\"$1\"" test ;;
    esac
}
missing=0
while IFS= read -r name; do
    if ! exists "$name"; then
        echo "docs/PROOFS.md names a test that is not there: $name"
        missing=1
    fi
done < <(grep -oE '`test: [^`]+`' docs/PROOFS.md | sed -E 's/^`test: (.*)`$/\1/')
exit "$missing"
