#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, unless all are
# installed.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache lld clang-format clang-tidy curl
  libboost-dev libboost-program-options-dev libboost-system-dev
  libtbb-dev libwebsocketpp-dev nlohmann-json3-dev libtomlplusplus-dev
  libxxhash-dev libspdlog-dev librapidcheck-dev libgtest-dev libgmock-dev
  libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
