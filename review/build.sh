#!/usr/bin/env bash
# Compiles the stand-ins and the cases of review/ without a network; needs bin/build-deploy first.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-env.sh
mkdir -p target/review
"$JAVA_HOME/bin/javac" -nowarn -d target/review -cp 'target/app/*' review/*.java
for source in review/[1-5]/*.java; do
  [ -e "$source" ] || continue
  "$JAVA_HOME/bin/javac" -nowarn -d target/review -cp 'target/review:target/app/*' "$source"
done
