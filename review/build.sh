#!/usr/bin/env bash
# Builds the programs that the review's scripts start, into target/review/. Run
# after the build of deploy/system.toml, whose packages suffice.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand_ins/*.cpp; do basename "$source" .cpp; done |
  xargs -P 4 -I NAME g++ -std=c++20 -O2 -Wall -Wextra -pthread \
    -Ireview/stand_ins review/stand_ins/NAME.cpp -o target/review/NAME
