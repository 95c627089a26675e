#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs bin/build-deploy and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/review/EndlessAnswer.class ] && [ -e target/app ] || { echo "run bin/build-deploy and review/build.sh first" >&2; exit 2; }
. bin/java-env.sh
exec "$JAVA_HOME/bin/java" -Xmx256m -cp 'target/review:target/app/*' EndlessAnswer review/5 "$PWD"
