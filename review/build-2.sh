#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case-*.cc; do
    program="target/review-2/$(basename "$source" .cc)"
    g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread "$source" -o "$program"
done
