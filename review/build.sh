#!/bin/bash
# Builds the stand-ins of the cases into review/target/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
"$(bin/java-home)/bin/javac" -d review/target review/standin/*.java
