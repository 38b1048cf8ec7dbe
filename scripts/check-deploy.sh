#!/usr/bin/env bash
# Checks that the deploy build finds all that it needs without the libraries of
# the tests, and that deploy/system.toml lists exactly the packages that it uses.
# Configures and preprocesses, but compiles nothing; needs no network.
#   scripts/check-deploy.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
root="$PWD"
build="${1:-build-deploy}"
rm -rf "$build"
cmake --no-warn-unused-cli -S . -B "$build" -G "Unix Makefiles" -DCMAKE_BUILD_TYPE=Release -DHYSSOPSPAR_DEPLOY=ON \
  -DCMAKE_DISABLE_FIND_PACKAGE_GTest=ON \
  -DCMAKE_DISABLE_FIND_PACKAGE_rapidcheck=ON \
  -DCMAKE_DISABLE_FIND_PACKAGE_benchmark=ON >/dev/null

# headers: prints the files outside of the repository that the sources include.
headers() {
  sed -n 's/^ *"command": "\(.*\)",\{0,1\}$/\1/p' "$build/compile_commands.json" |
    sed -E 's/\\"/"/g; s/^[^ ]*ccache //; s/ -o [^ ]+/ -M/' |
    tr '\n' '\0' |
    xargs -0 -P "$(nproc)" -n 1 bash -c 'cd "$0" && eval "$1" >"$(mktemp -p . included.XXXXXX)"' "$build"
  cat "$build"/included.* | tr ' ' '\n' | grep '^/' | grep -v "^$root/" | sort -u
}

# libraries: prints the files of the libraries that the programs link to, without
# their versions: these belong to the packages for development.
libraries() {
  local word
  find "$build" -name link.txt -path '*/src/node/*' -exec cat {} + | tr ' ' '\n' | sort -u |
    while read -r word; do
      case "$word" in
        /*.so | /*.so.*) echo "${word%%.so*}.so" ;;
        /*.a) echo "$word" ;;
        -l?*) "${CXX:-c++}" -print-file-name="lib${word#-l}.so" ;;
      esac
    done
}

# owner FILES...: prints the packages that own the files. dpkg may know a file by
# its path before the merge of /lib into /usr/lib.
owner() {
  local file real
  for file in "$@"; do
    real="$(realpath "$file")"
    { dpkg-query -S "$(realpath -s "$file")" || dpkg-query -S "$real" || dpkg-query -S "${real#/usr}"; } 2>/dev/null |
      head -n 1 | sed 's/: .*//; s/:.*//' || echo "unknown-owner-of:$file"
  done
}

# direct_depends PACKAGE: prints the packages that it depends on, if installed.
direct_depends() {
  dpkg-query -W -f='${Pre-Depends},${Depends}\n' "$1" 2>/dev/null |
    tr ',|' '\n\n' | sed 's/^ *//; s/[ :(].*//' | grep . || true
}

# all_depends PACKAGE: prints the package and all that it depends on.
all_depends() {
  local queue=("$1") package
  local -A seen=()
  while [ "${#queue[@]}" -gt 0 ]; do
    package="${queue[0]}"
    queue=("${queue[@]:1}")
    [ -z "${seen[$package]:-}" ] || continue
    seen[$package]=1
    echo "$package"
    mapfile -t -O "${#queue[@]}" queue < <(direct_depends "$package")
  done
}

headers >"$build/headers.txt"
libraries >"$build/libraries.txt"
[ -s "$build/headers.txt" ] && [ -s "$build/libraries.txt" ] || {
  echo "deploy: no headers or no libraries found" >&2
  exit 1
}
# Most headers are beside others of the same package: one for each folder.
awk -F/ '{ folder = $0; sub("/[^/]*$", "", folder) } !seen[folder]++' "$build/headers.txt" |
  cat - "$build/libraries.txt" | tr '\n' '\0' |
  xargs -0 -n 20 -P "$(nproc)" bash -c "$(declare -f owner)"'; owner "$@"' _ |
  sort -u >"$build/used-packages.txt"

status=0
scripts/deploy-packages.sh >"$build/listed-packages.txt"
while read -r package; do
  all_depends "$package"
done <"$build/listed-packages.txt" | sort -u >"$build/brought-packages.txt"
while read -r package; do
  grep -qxF "$package" "$build/brought-packages.txt" || {
    echo "deploy: the build uses $package, which no package of deploy/system.toml brings" >&2
    status=1
  }
done <"$build/used-packages.txt"
while read -r package; do
  case "$package" in build-essential | cmake) continue ;; esac
  # Packages without a version in their name only depend on the one with it.
  { echo "$package"; direct_depends "$package"; } | grep -qxF -f "$build/used-packages.txt" || {
    echo "deploy: deploy/system.toml lists $package, which the build doesn't need" >&2
    status=1
  }
done <"$build/listed-packages.txt"
[ "$status" -eq 0 ] && echo "deploy: packages match"
exit "$status"
