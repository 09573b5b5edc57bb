#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10), after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cpp" ] || continue
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand_ins-2 "review/$number/case.cpp" -o "build/review/case-$number"
done
