#!/bin/sh
# Builds the programs of the cases into target/review/: stand-ins, clients and checks in one.
# Needs the compiler and the Boost packages that the deploy file names, nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/tests/*.cc; do
  program=target/review/$(basename "$source" .cc)
  if [ -x "$program" ] && [ -z "$(find "$source" review/support -newer "$program" -name '*.[ch]*')" ]; then
    continue
  fi
  g++ -std=c++20 -O1 -Wall -Wextra -o "$program" "$source" -lboost_json -lpthread
done
