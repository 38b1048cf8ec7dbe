#!/usr/bin/env bash
# Installs missing packages, configures and builds all targets.
#   scripts/build.sh [BUILD_DIR [SANITIZER]]   SANITIZER: address or thread
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
build="${1:-build}"
cmake -S . -B "$build" -G Ninja -DHYSSOPSPAR_SANITIZER="${2:-}" >/dev/null
cmake --build "$build"
