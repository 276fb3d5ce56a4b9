#!/usr/bin/env bash
# Runs one case of the second review: run-2.sh FOLDER. Called by each case's run.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
case_folder=$(cd "$1" && pwd)
root=$(cd "$case_folder/../.." && pwd)
name=$(basename "$case_folder")
program=$root/target/bendtide
scenario=$root/target/review-2/case-$name
if [ ! -x "$program" ] || [ ! -x "$scenario" ]; then
  echo "build first: the build of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$root" || exit 2
timeout --signal=KILL 119 "$scenario" "$program" "$work" "$case_folder/record.txt" "${TROUBLE:-1}"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"/ 2>/dev/null
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
