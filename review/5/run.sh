#!/usr/bin/env bash
# Plays the case once, after the build of the deploy file and review/build-2.sh. Exit codes: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
java=$(bin/java-home)/bin/java || exit 2
if [ ! -x target/jre/bin/java ] || [ ! -d target/review-2 ]; then
  echo "build first: deploy/build and review/build-2.sh"
  exit 2
fi
timeout -k 5 115 "$java" -Xmx512m -cp "target/review-2:standin/target/classes:standin/target/lib/*" BrokenOffEarly review/5/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
