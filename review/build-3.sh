#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of this review into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# The suffixes keep the sources out of the checks of scripts/format and scripts/lint.
for it in review/standin-3/*.cc; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$it" -o "target/review-3/$(basename "$it" .cc)"
done
