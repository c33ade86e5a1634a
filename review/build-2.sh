#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2. They need no more
# than a compiler and nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
