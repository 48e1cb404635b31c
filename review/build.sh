#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it after the
# build of deploy/system.toml. Usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -o target/review/cases \
  review/standin/world.cc review/standin/cases.cc -pthread
echo "built target/review/cases"
