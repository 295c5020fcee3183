#!/bin/bash
# Builds the programs of the review's scripts, with their stand-ins, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in leave reborn crash late drain; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "review/standin/$name.cpp" -o "target/review/$name"
done
