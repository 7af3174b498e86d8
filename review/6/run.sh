#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] && [ -x target/platform/cartsaild-platform ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 target/review-2/case-6 review/6 "$folder"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
