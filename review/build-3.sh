#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of this review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for it in review/standin-3/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$it" -o "target/review-3/$(basename "$it" .cpp)"
done
