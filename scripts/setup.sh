#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, unless all are
# installed: those of deploy/system.toml, and the tools and libraries of the tests.
set -euo pipefail
mapfile -t packages < <("$(dirname "$0")/deploy-packages.sh")
packages+=(
  ninja-build ccache lld clang-format clang-tidy curl
  librapidcheck-dev libgtest-dev libgmock-dev libbenchmark-dev
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
