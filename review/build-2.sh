#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 7 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-2
mkdir -p "$output"
common=(http store runner deployment)
programs=(large_gang lasting_tasks mass_cancel pending_jobs)
jobs=()
for name in "${common[@]}" "${programs[@]}"; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "review/standins-2/$name.cpp" -o "$output/$name.o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
objects=("${common[@]/#/$output/}")
for name in "${programs[@]}"; do
    g++ "$output/$name.o" "${objects[@]/%/.o}" -o "$output/$name" -lboost_json -lpthread
done
