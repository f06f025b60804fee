#!/bin/bash
# Installs every package that the build, the tests and CI need. Debian 12, run as root.
set -euo pipefail
packages=(
    ccache clang-format clang-tidy cmake curl g++ git libabsl-dev libasio-dev libboost-dev
    libboost-log-dev libboost-test-dev libcurl4-openssl-dev libfmt-dev libhttp-parser-dev
    libinih-dev libmsgpack-cxx-dev libnng-dev librapidcheck-dev libxxhash-dev
    ninja-build nlohmann-json3-dev procps python3
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${packages[@]}" >/dev/null
