#!/usr/bin/env bash
# Checks that what deploy/system.toml says builds the program in a clean clone, and that the program
# names what is missing when it is started without settings.
set -eu
cd "$(dirname "$0")/.."
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
git clone -q . "$folder/clone"
cd "$folder/clone"
command="$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
[ -n "$command" ] || { echo "deploy/system.toml has no build line"; exit 1; }
bash -c "$command" >"$folder/build.log" 2>&1 || { tail -n 40 "$folder/build.log"; exit 1; }
[ -z "$(git status --porcelain)" ] || { echo "the build leaves files outside target/"; exit 1; }
for program in $(sed -n 's/^run = "\([^ "]*\).*$/\1/p' deploy/system.toml | sort -u); do
    [ -x "$program" ] || { echo "the build makes no $program"; exit 1; }
    if "$program" 2>"$folder/said" || ! grep -q GUAVAVALVE_NODE_FILE "$folder/said"; then
        echo "$program does not name the settings that it misses"
        exit 1
    fi
done
while IFS= read -r package; do
    grep -qw -- "$package" scripts/packages.sh || { echo "scripts/packages.sh lacks $package"; exit 1; }
done < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr ',' '\n')
echo "deploy: the build in a clean clone is fine"
