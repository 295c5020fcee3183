#!/usr/bin/env bash
# Plays the case of claim.txt; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# KEEP=FOLDER keeps the settings, logs and disks of the project's processes.
set -u
python3 -c 'import tomllib' || exit 2
exec python3 -B "$(dirname "$0")/case.py"
