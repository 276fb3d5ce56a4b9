#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the second review (cases 4 to 8) into target/review-2.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -pthread -I "$root/review/world-2")
"${CXX:-g++}" "${flags[@]}" -c "$root/review/world-2/world.cpp" -o "$out/world.o"
for scenario in "$root"/review/[4-8]/scenario.cpp; do
  name=$(basename "$(dirname "$scenario")")
  "${CXX:-g++}" "${flags[@]}" "$scenario" "$out/world.o" -o "$out/case-$name" &
done
for job in $(jobs -p); do wait "$job"; done
