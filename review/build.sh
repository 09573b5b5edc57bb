#!/bin/sh
# Builds the cases' stand-ins into review/build, with the compiler that the project's build needs and nothing else.
set -e
cd "$(dirname "$0")"
mkdir -p build
for case in ${1:-1 2 3}; do
  [ -e "$case/case.cpp" ] || continue
  if [ ! -x "build/case$case" ] || [ "$case/case.cpp" -nt "build/case$case" ] || [ harness.h -nt "build/case$case" ]; then
    "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra -o "build/case$case" "$case/case.cpp"
  fi
done
