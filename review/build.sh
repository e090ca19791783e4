#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source"
done
