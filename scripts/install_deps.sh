#!/usr/bin/env bash
# Installs the packages that the build, the linters and the tests need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy clang-tools curl jq git
  libcaf-dev libnng-dev libboost1.81-dev libboost-context1.81-dev
  libspdlog-dev libcpputest-dev libtomlplusplus-dev libxxhash-dev
  librapidcheck-dev libcereal-dev nlohmann-json3-dev)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q "install ok installed"; then
    missing+=("$package")
  fi
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
