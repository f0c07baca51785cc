#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/target/UnreadableEntry.class ] && [ -f target/gateway/gateway.jar ] || { echo "not built"; exit 2; }
timeout -k 5 110 "$(bin/java-home)/bin/java" -Xmx256m -cp review/target UnreadableEntry review/1/record.txt &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT
wait "$child"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
