#!/usr/bin/env bash
# Runs a gateway of each of two builds beside each other on one stand-in of the platform:
# gateway.sh OTHER, where OTHER is a checkout of the other build. Both must have been built with
# bin/build-deploy and have compiled tests. Logs go to build/old-beside-new.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
new=$(cd "$here/../../.." && pwd)
old=$(cd "${1:?usage: gateway.sh OTHER}" && pwd)
work=$new/build/old-beside-new
mkdir -p "$work"
. "$new/bin/java-env.sh"
java=$JAVA_HOME/bin/java
pids=()
failures=0
stop_all() {
  trap - EXIT INT TERM
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
trap 'exit 1' INT TERM
check() {
  local text=$1 attempt
  shift
  for attempt in $(seq 1 20); do
    if "$@" >"$work/check.log" 2>&1; then echo "ok      $text"; return 0; fi
    sleep 1
  done
  echo "FAILED  $text"
  failures=$((failures + 1))
}

check "heartbeats of the same states are the same bytes" "$java" --sun-misc-unsafe-memory-access=allow \
  -cp "$new/target/app/*" "$here/Heartbeats.java" "$old/target/app" "$new/target/app"
cat "$work/check.log"
mkfifo "$work/input" 2>/dev/null || true
"$java" --sun-misc-unsafe-memory-access=allow -cp "$new/target/app/*:$new/platform/target/test-classes" "$here/Platform.java" \
  <>"$work/input" >"$work/platform.txt" 2>"$work/platform.log" &
pids+=($!)
for attempt in $(seq 1 60); do [ -s "$work/platform.txt" ] && break; sleep 1; done
store=$(head -1 "$work/platform.txt")

# gateway NAME ROOT IP ZONE: runs a gateway of a build on a loopback address.
gateway() {
  cat >"$work/$1.json" <<J
{"self":{"node":"$1","ip":"$3","zone":"$4","region":"${4%-*}"},
 "network":{"listen":{"front":"$3:20510","ready":"$3:20511","directory":"$3:20512"},
  "internal-ports":[20513,20514],"zones":{"north-a":"north","south-a":"south"}},
 "platform":{"platform":{"addr":"$store"}},
 "terms":{"bounds":{"retry-budget-ratio":0.2,"budget-slack":60,"grace":"6s",
  "quota-window":"5s","quota-overshoot":0.1,"quota-slack":20}}}
J
  "$java" -Xmx160m --sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED \
    -cp "$2/target/app/*" org.bambooarch.cli.Main gateway --settings "$work/$1.json" >"$work/$1.log" 2>&1 &
  started=$!
  pids+=("$started")
}
gateway gateway-old "$old" 127.0.0.2 north-a
gateway gateway-new "$new" 127.0.0.3 south-a
new_pid=$started
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1:20511/-/ready")" = 200 ]; }
sees() { curl -s "http://$1:9464/metrics" | grep -q "^bambooarch_live_instances $2"; }
serves() {
  curl -s -i -H 'host: shop.example' -H "request-id: $2" -H 'deadline-ms: 4000' -H 'credential: key-of-kerala' \
    -H 'cookie: Affinity-Key=7' "http://$1:20510/reads/$2" | grep -q '^served'
}
refuses() { ! serves "$@"; }
# resolves IP REGION ZONE ADDRESS: the directory names an address to callers of a zone.
resolves() { curl -s "http://$1:20512/-/resolve?region=$2&zone=$3" | grep -q "$4:20510"; }
check "old gateway is ready" ready 127.0.0.2
check "new gateway is ready" ready 127.0.0.3
check "old gateway receives heartbeats of the new one" sees 127.0.0.2 2
check "new gateway receives heartbeats of the old one" sees 127.0.0.3 2
check "old gateway's directory names the new one" resolves 127.0.0.2 south south-a 127.0.0.3
check "new gateway's directory names the old one" resolves 127.0.0.3 north north-a 127.0.0.2
check "old gateway serves" serves 127.0.0.2 r-old
check "new gateway serves" serves 127.0.0.3 r-new
curl -s http://127.0.0.1:20501/close
sleep 2
check "old gateway reads the closed data centre" refuses 127.0.0.2 r-closed-old
check "new gateway reads the closed data centre" refuses 127.0.0.3 r-closed-new
curl -s http://127.0.0.1:20501/open
check "old gateway reads the reopened data centre" serves 127.0.0.2 r-open-old
check "new gateway reads the reopened data centre" serves 127.0.0.3 r-open-new
metrics() { curl -s "http://$1:9464/metrics" | grep -oE '^(# (HELP|TYPE) .*|[a-z_]+(\{[^}]*\})?)' | sort -u; }
metrics 127.0.0.2 >"$work/gateway-metrics-old.txt"
metrics 127.0.0.3 >"$work/gateway-metrics-new.txt"
check "both have the same metrics, labels and help texts" cmp "$work/gateway-metrics-old.txt" "$work/gateway-metrics-new.txt"
kill "$new_pid"
check "old gateway notices that the new one left" sees 127.0.0.2 1
stop_all
events() { grep -oE 'event=[a-z-]+' "$work/$1.log" | sort -u; }
events gateway-old >"$work/events-old.txt"; events gateway-new >"$work/events-new.txt"
diff "$work/events-old.txt" "$work/events-new.txt" && echo "same events in both logs" || echo "events differ as shown (each only where it happened)"

# Both builds explain the logs of both.
explain() { (cd "${!1}" && bin/bambooarch explain "${@:2}" 2>/dev/null) || true; }
# The log lines that a build shows, without its legend and conclusion.
shown() { grep -E '^. gateway-' "$work/explain-$1.txt" || true; }
for question in "--request r-closed-old" "--request r-closed-new" "--request r-none" "--server server-1" "--version 1"; do
  for build in old new; do
    explain $build $question "$work/gateway-old.log" "$work/gateway-new.log" >"$work/explain-$build.txt"
  done
  if [ -s "$work/explain-new.txt" ] && diff <(shown old) <(shown new) >"$work/check.log"; then
    echo "ok      explain $question: both builds show the same lines ($(shown new | wc -l)); conclusions:"
    echo "        old: $(tail -1 "$work/explain-old.txt")"
    echo "        new: $(tail -1 "$work/explain-new.txt")"
  else
    echo "FAILED  explain $question"
    failures=$((failures + 1))
  fi
done
echo "$failures checks failed"
[ "$failures" = 0 ]
