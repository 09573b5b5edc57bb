#!/bin/sh
# Runs the case in folder $1: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
number=$(basename "$1")
record="$here/$number/record.txt"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ -z "$run" ] || [ ! -x "$root/build/kelpdeal" ] || ! "$here/build.sh" "$number"; then
  echo "could not run: the project or the case is not built" | tee "$record"
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
trap 'exit 2' INT TERM
timeout -k 2 116 "$here/build/case$number" "$root" "$run" "$record"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
