#!/usr/bin/env bash
# Builds the stand-ins of the cases 12 to 15 into target/review-3. They need
# nothing but a C++20 compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -o target/review-3/stage review/stage-3/main.cc
