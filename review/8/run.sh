#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/standins-2 && test -x target/release/zincstand-proxy || {
  echo "build first: the command of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
}
# The balancers end with the process that has started them.
REVIEW_ROOT=$PWD target/review-2/standins-2 never_ending 8 &
driver=$!
trap 'kill "$driver" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$driver"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
