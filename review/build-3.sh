#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3. The node itself is built by the command
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for program in platform runner nodes clients; do
    g++ -std=c++20 -O2 -Wall -Wextra -o "build-review-3/$program" \
        "review/standins-3/$program.cpp" -pthread
done
