#!/usr/bin/env bash
# Builds the programs that the cases 6 to 10 run, with the stand-ins in them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/standin-2/*.cpp; do
    g++ -std=c++20 -O1 -pthread -Wall -Wextra "$it" -o "target/review-2/$(basename "$it" .cpp)"
done
