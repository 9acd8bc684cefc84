#!/usr/bin/env bash
# Builds the stand-ins of the cases with the compiler that the project needs
# anyway; no library beside the C++ one.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in */case.cc; do
    number=$(dirname "$source")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
        -o "../target/review/case-$number"
done
