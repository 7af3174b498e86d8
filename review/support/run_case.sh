#!/bin/sh
# Usage: run_case.sh FOLDER PROGRAM [ARGUMENT ...]: runs a case's program, which writes
# FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# The nodes that the program starts end with it.
set -u
case=$(cd "$1" && pwd)
program=$2
shift 2
root=$(cd "$(dirname "$0")/../.." && pwd)
if [ ! -x "$root/target/review/$program" ] || [ ! -x "$root/target/platform/cartsaild-platform" ]; then
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$root/target/review/$program" --root "$root" --folder "$folder" \
  --record "$case/record.txt" "$@"
status=$?
if [ "$status" -gt 1 ]; then exit 2; fi
exit "$status"
