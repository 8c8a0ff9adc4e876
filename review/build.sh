#!/usr/bin/env bash
# Builds the stand-ins and the cases of this folder into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -Istandins)
for source in store runner deployment; do
    g++ "${flags[@]}" -c "standins/$source.cpp" -o "build/$source.o" &
done
wait
only="${1:-}"
for source in standins/*.cpp; do
    name=$(basename "$source" .cpp)
    [ -z "$only" ] || [ "$name" = "$only" ] || continue
    case $name in store | runner | deployment) continue ;; esac
    g++ "${flags[@]}" "$source" build/store.o build/runner.o build/deployment.o -o "build/$name" &
done
wait
