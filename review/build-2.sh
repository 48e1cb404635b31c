#!/usr/bin/env bash
# Builds the stand-in of the scripts in review/6 to review/10, in build-review-2/.
# It needs the compiler and the JSON library of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O1 -pthread -o build-review-2/standin review/6/standin.cc
