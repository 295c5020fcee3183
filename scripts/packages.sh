#!/usr/bin/env bash
# Installs every Debian package that the build and the tests need. The Makefile and .ci/run call it.
set -eu

packages=(
    build-essential cmake ninja-build ccache clang-format clang-tidy curl
    libcpprest-dev libcereal-dev prometheus-cpp-dev libabsl-dev libspdlog-dev
    nlohmann-json3-dev catch2 libsodium-dev libxxhash-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q '^install ok installed$' \
        || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}"
