#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/tests/main.cc; do
  case_name=$(basename "$(dirname "$(dirname "$source")")")
  grep -q 'support-2/tests/stand_ins.h' "$source" || continue
  g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$case_name" "$source"
done
