#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 6 to 9 run, with their stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# The suffixes keep the sources out of the checks of scripts/format and scripts/lint.
for it in review/standin-2/*.cc; do
    g++ -std=c++20 -O1 -pthread -Wall -Wextra "$it" -o "target/review-2/$(basename "$it" .cc)"
done
