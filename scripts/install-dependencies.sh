#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need. Does nothing when they are there.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang clang-format clang-tidy
    libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev
    libcereal-dev libtomlplusplus-dev libdocopt-dev catch2 libxxhash-dev libpcg-cpp-dev libssl-dev
)
if dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null | grep -c '^install ok installed$' \
    | grep -qx "${#packages[@]}"; then
    exit 0
fi
privilege=()
[ "$(id -u)" -eq 0 ] || privilege=(sudo)
"${privilege[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${privilege[@]}" apt-get install -y -q --no-install-recommends "${packages[@]}"
