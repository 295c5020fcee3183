#!/usr/bin/env bash
# Checks that each test that docs/PROOFS.md names (between `test:` and a closing backtick) exists.
set -eu
cd "$(dirname "$0")/.."
[ -f docs/PROOFS.md ] || exit 0
missing=0
while IFS= read -r name; do
    if ! grep -rqF -- "$name" test; then
        echo "docs/PROOFS.md names a test that is not there: $name"
        missing=1
    fi
done < <(grep -oE '`test: [^`]+`' docs/PROOFS.md | sed -E 's/^`test: (.*)`$/\1/')
exit "$missing"
