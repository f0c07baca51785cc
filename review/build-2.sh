#!/usr/bin/env bash
# Builds what the scripts of review/4 and later start: the project's stand-ins and the rig, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/java-home)
export JAVA_HOME
export MAVEN_OPTS="--sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED"
mvn -q -B -o -T 1C -DskipTests -pl standin -am package
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 -cp "standin/target/classes:standin/target/lib/*" review/rig/*.java
