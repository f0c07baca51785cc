#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases that use this folder, after deploy/build, under target/review-rig2.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -d standin/target/classes ] || { echo "run deploy/build first" >&2; exit 2; }
rm -rf target/review-rig2
mkdir -p target/review-rig2
"$(bin/java-home)/bin/javac" -cp "standin/target/classes:standin/target/lib/*" -d target/review-rig2 review/rig2/*.java
