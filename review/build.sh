#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review/, after the build of the deploy
# file. Needs only the packages of that build.
set -eu
trap wait EXIT # for compilers that still run after a failure
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
jobs=()
for source in review/standins/*.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    c++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
    jobs+=($!)
    objects+=("$object")
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for folder in review/[1-5]; do
    [ -f "$folder/case.cpp" ] || continue
    c++ -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cpp" "${objects[@]}" -lboost_json \
        -o "target/review/case$(basename "$folder")"
done
