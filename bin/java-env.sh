# Sourced by the other scripts: sets JAVA_HOME to a JDK 25 or newer, and checks that Maven is on the
# PATH. Exits with status 3 if either is missing.
jdk_version() { "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -1; }
find_jdk() {
  local home version
  for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /opt/jdk* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
    [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
    version=$(jdk_version "$home")
    [ -n "$version" ] && [ "$version" -ge 25 ] && { echo "$home"; return 0; }
  done
  return 1
}
if ! JAVA_HOME=$(find_jdk); then
  echo "bambooarch: no JDK 25 or newer found; install one or set JAVA_HOME to its folder" >&2
  exit 3
fi
export JAVA_HOME
if ! command -v mvn >/dev/null 2>&1; then
  echo "bambooarch: Maven (mvn) not found on the PATH; install Maven 3.8 or newer" >&2
  exit 3
fi
