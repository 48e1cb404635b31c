#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the program of each
# case with the platform, workers and callers of review/1/world.cc. Run it after
# the build of deploy/system.toml. Usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra)
g++ "${flags[@]}" -c -o target/review/world.o review/1/world.cc
for n in 1 2 3 4 5; do
  g++ "${flags[@]}" -o "target/review/case-$n" "review/$n/case.cc" \
    target/review/world.o -pthread
done
echo "built target/review/case-1 to case-5"
