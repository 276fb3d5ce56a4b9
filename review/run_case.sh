#!/usr/bin/env bash
# Runs the scenario of the case in folder $1: exits with 0 (held), 1 (broken) or 2 (could not run).
set -u
case_folder=$(cd "$1" && pwd)
root=$(cd "$case_folder/../.." && pwd)
scenario=$root/target/review/review_case_$(basename "$case_folder")
program=$root/target/bendtide
if [ ! -x "$scenario" ] || [ ! -x "$program" ]; then
  echo "not built: run the build command of deploy/service.toml and review/build.sh" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
export LOG_LEVEL=${LOG_LEVEL:-info}
timeout -k 1 118 "$scenario" "$program" "$temporary" "$case_folder/record.txt"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$temporary"/*.log "$KEEP_LOGS"/; fi
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
