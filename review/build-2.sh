#!/usr/bin/env bash
# Builds the stand-ins and the cases that the scripts review/6 to review/10 start, into
# review/standins-2/bin. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p standins-2/bin
for case in 6 7 8 9 10; do
    [ -f "$case/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra "$case/case.cpp" standins-2/*.cpp \
        -o "standins-2/bin/case-$case" -pthread -lboost_json
done
