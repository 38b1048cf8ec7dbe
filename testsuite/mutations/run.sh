#!/usr/bin/env bash
# Plants each fault of mutations.txt in a copy of the sources and checks that its
# test program fails. Prints a table; exits with 1 if a fault is not found, or
# can't be planted or built.
#   testsuite/mutations/run.sh
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r "$root/CMakeLists.txt" "$root/src" "$root/testsuite" "$copy/"
cmake -S "$copy" -B "$copy/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
trim() { sed 's/^ *//; s/ *$//'; }
missed=0
echo "| planted fault | found by | first finding |"
echo "| --- | --- | --- |"
while IFS= read -r line; do
  case $line in '#'* | '') continue ;; esac
  # Splits the line from both ends, because the substitution may contain " | ".
  name=$(sed 's/ | .*//' <<<"$line")
  rest=${line#* | }
  file=${rest%% | *}
  rest=${rest#* | }
  steps=${rest##* | }
  rest=${rest% | *}
  cases=${rest##* | }
  rest=${rest% | *}
  target=${rest##* | }
  expression=${rest% | *}
  cp "$root/$file" "$copy/$file"
  perl -0pi -e "$expression" "$copy/$file"
  if cmp -s "$root/$file" "$copy/$file"; then
    echo "| $name | NOT PLANTED | the expression matches nothing |"
    missed=1
    continue
  fi
  cmake --build "$copy/build" --target "$target" >"$copy/build.log" 2>&1 || {
    echo "| $name | NOT BUILT | $(grep -m 1 error "$copy/build.log") |"
    missed=1
    cp "$root/$file" "$copy/$file"
    continue
  }
  program=$(find "$copy/build" -name "$target" -type f)
  found=0
  rm -f "$copy"/out.?
  pids=()
  cases_per_process=$(((cases + 7) / 8))
  for i in 0 1 2 3 4 5 6 7; do
    if [[ $target == *_test ]]; then
      [ "$i" -eq 0 ] || break
      # Instances that fail without a planted fault must not count.
      "$program" --gtest_filter='-KnownRed/*' >"$copy/out.$i" 2>&1 &
    else
      "$program" --seed $((1 + i * 1000)) --cases "$cases_per_process" --steps "$steps" >"$copy/out.$i" 2>&1 &
    fi
    pids+=($!)
  done
  for pid in "${pids[@]}"; do wait "$pid" || found=1; done
  first=$(cat "$copy"/out.? | grep -m 1 -E '^seed|invariant|FAILED' | sed 's/.*critical //' || true)
  if [ "$found" -eq 1 ]; then
    echo "| $name | $target, $cases cases | ${first:-it stopped} |"
  else
    echo "| $name | NOT FOUND | $target, $cases cases of $steps steps |"
    missed=1
  fi
  cp "$root/$file" "$copy/$file"
done <"$here/mutations.txt"
exit $missed
