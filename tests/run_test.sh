#!/usr/bin/env bash
# Tests tests/run with a fake ctest that lists three tests and reports those in RED as failed. With
# RED=nameless it fails without listing a test.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/bin" "$work/build/Testing/Temporary"
cat >"$work/bin/ctest" <<'CTEST'
#!/usr/bin/env bash
if [[ " $* " == *" -N "* ]]; then
  printf '  Test #1: One\n  Test #2: Many/Two.Three/4  # GetParam() = 4\n  Test  #3: Five\n'
  exit 0
fi
[ -z "$RED" ] && exit 0
[ "$RED" = nameless ] || printf "$RED" >"$BUILD/Testing/Temporary/LastTestsFailed.log"
exit 8
CTEST
chmod +x "$work/bin/ctest"

bad=0
# expect STATUS TEXT KNOWN_RED FAILED: runs tests/run with the contents KNOWN_RED of KNOWN-RED.txt and the
# failed tests FAILED; expects its exit status and a text in its output.
expect() {
  printf "$3" >"$work/known"
  out=$(PATH="$work/bin:$PATH" RED="$4" BUILD="$work/build" KNOWN_RED="$work/known" "$here/run" "$work/build" 2>&1)
  status=$?
  if [ $status -ne "$1" ] || ! grep -qF -- "$2" <<<"$out"; then
    echo "KNOWN-RED.txt '$3', failed tests '$4': exit status $status and output '$out'; expected $1 and '$2'"
    bad=1
  fi
}
expect 0 "" "" ""
expect 1 "" "" "1:One\n"
expect 0 "known red, fails: One" "One: a cause (issue 1)\n" "1:One\n"
expect 0 "known red, passes: One" "One: a cause (issue 1)\n" ""
expect 0 "known red, fails: Many/Two.Three/4" "Many/Two.Three/4: c (issue 1)\n" "2:Many/Two.Three/4  # GetParam() = 4\n"
expect 1 "known red, fails: One" "One: a cause (issue 1)\n" "1:One\n3:Five\n"
expect 1 "lists an unknown test: Six" "Six: a cause (issue 1)\n" ""
expect 1 "at most three are allowed" "One: c (issue 1)\nFive: c (issue 1)\nOne: c (issue 1)\nFive: c (issue 1)\n" ""
expect 1 "" "One: a cause (issue 1)\n" "nameless"
exit $bad
