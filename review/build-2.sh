#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 without a network, after the build of the deploy file. What
# the cases share stands in review/6/shared.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-env.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 -cp 'target/app/*' review/6/shared/*.java \
  review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
