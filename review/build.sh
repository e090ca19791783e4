#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
# The suffixes keep the sources out of the checks of scripts/format and scripts/lint.
for source in review/standin/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
