#!/usr/bin/env bash
# Installs what the build and the tests need, on a Debian machine. Does nothing
# where all of it is there.
set -euo pipefail

packages=(
  ccache clang-format clang-tidy cmake curl doctest-dev g++ jq libace-dev
  libboost-dev libcereal-dev libcli11-dev libcurl4-openssl-dev
  libgoogle-glog-dev liblua5.4-dev libmicrohttpd-dev librapidcheck-dev
  libxxhash-dev ninja-build nlohmann-json3-dev pkg-config python3
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q '^install ok installed$'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

as_root=()
if [ "$(id -u)" -ne 0 ]; then
  as_root=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
