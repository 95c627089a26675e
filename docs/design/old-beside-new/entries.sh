#!/usr/bin/env bash
# Runs entry instances of two builds side by side and checks that each reads and changes what the
# other wrote: entries.sh OTHER, where OTHER is a checkout of the other build. Uses the ports
# of examples/settings and examples/swatchnet. Logs go to build/old-beside-new.
set -euo pipefail
new=$(cd "$(dirname "$0")/../../.." && pwd)
old=$(cd "${1:?usage: entries.sh OTHER}" && pwd)
work=$new/build/old-beside-new
mkdir -p "$work"
pids=()
failures=0

stop() { kill "$1" 2>/dev/null || true; kill "$1" 2>/dev/null || true; wait "$1" 2>/dev/null || true; }
stop_all() { trap - EXIT INT TERM; local pid; for pid in "${pids[@]}"; do stop "$pid"; done; }
trap stop_all EXIT
trap 'exit 1' INT TERM

# start NAME ROOT ARGUMENTS...: runs a command of a build in the background.
start() {
  local name=$1 root=$2
  shift 2
  (cd "$root" && exec bin/bambooarch "$@") >"$work/$name.log" 2>&1 &
  started=$!
  pids+=("$started")
}
old() { (cd "$old" && bin/bambooarch "$@"); }
new() { (cd "$new" && bin/bambooarch "$@"); }
await() {
  local attempt
  for attempt in $(seq 1 60); do "$@" >"$work/await.log" 2>&1 && return 0; sleep 1; done
  echo "still failing after 60 attempts: $*" >&2
  return 1
}
# check TEXT COMMAND...: runs a command and reports whether it succeeded.
check() {
  local text=$1
  shift
  if await_briefly "$@"; then echo "ok      $text"; else echo "FAILED  $text"; failures=$((failures + 1)); fi
}
await_briefly() {
  local attempt
  for attempt in $(seq 1 15); do "$@" >"$work/check.log" 2>&1 && return 0; sleep 1; done
  return 1
}
# request PORT METHOD PATH IDEMPOTENCY-KEY BODY: status, then headers and body, of one request.
request() {
  curl -s -i -m 20 -X "$2" -H "authorization: Bearer $key" ${4:+-H "idempotency-key: $4"} \
    --data-binary "$5" "http://127.0.0.1:$1$3"
}
body_of() { request "$@" | sed '1,/^\r$/d'; }
answers() { request "$@" | head -1 | grep -q ' 200'; }
refused_as() { local code=$1; shift; request "$@" | grep -q "urn:bambooarch:problem:$code"; }
same_answer() { [ -n "$1" ] && [ "$1" = "$(body_of "${@:2}")" ]; }
version_of() { curl -s "http://127.0.0.1:$1/dump" | sed -n '/"configuration"/,/}/s/.*"version" : \([0-9]*\).*/\1/p' | head -1; }
has_version() { [ "$(version_of "$1")" = "$2" ]; }
dump_has() { curl -s "http://127.0.0.1:$1/dump" | grep -qE "$2"; }
connected_peers() { [ "$(curl -s "http://127.0.0.1:$1/dump" | grep -c '"connected" : true')" = "$2" ]; }

kochi=20100 tvm=20101 kozhikode=20102 kochi_ops=20300 tvm_ops=20301 kozhikode_ops=20302
old validate examples/swatchnet >/dev/null
new validate examples/swatchnet >/dev/null

start platform "$old" standin-platform --port 20000
start targets "$old" standin-target examples/swatchnet
targets=$started
await old plan examples/swatchnet
old apply examples/swatchnet --expect "$(old plan examples/swatchnet | sed -n 's/.*--expect //p')" >/dev/null
issued=$(old key issue kasavu-exports)
key=$(sed -n 's/^key //p' <<<"$issued")
start old-kochi "$old" entry --settings examples/settings/entry-kochi-a.json
await answers $kochi GET /dye-lots/stock/7 '' ''

# The old build writes more than the 256 changes between two snapshots.
for ((i = 0; i < ${CHANGES:-130}; i++)); do
  old drain server catalogue-kochi-a-1 >/dev/null
  old undrain server catalogue-kochi-a-1 >/dev/null
done
old drain place tvm-b >/dev/null
version=$(old plan examples/swatchnet | sed -n 's/.*--expect //p')
check "old instance has version $version, written by the old command" has_version $kochi_ops "$version"

start new-tvm "$new" entry --settings examples/settings/entry-tvm-a.json
start new-kozhikode "$new" entry --settings examples/settings/entry-kozhikode-a.json
check "new instance starts from changes and snapshot of the old build" has_version $tvm_ops "$version"
check "drain written by the old build is in force on the new one" dump_has $tvm_ops '"name" : "tvm-b"'
check "old instance is connected to both new ones" connected_peers $kochi_ops 2
check "new instance is connected to an old and a new one" connected_peers $tvm_ops 2
check "old instance answers" answers $kochi GET /dye-lots/stock/7 '' ''
check "new instance answers" answers $tvm GET /dye-lots/stock/7 '' ''

new undrain place tvm-b >/dev/null
version=$((version + 1))
check "change of the new build is in force on the old instance" has_version $kochi_ops "$version"
check "change of the new build is in force on the new instance" has_version $kozhikode_ops "$version"
new_issued=$(new key issue onam-boutiques)
new_key=$(sed -n 's/^key //p' <<<"$new_issued")
version=$((version + 1))
check "key issued by the new build reaches the old instance" has_version $kochi_ops "$version"
old_key=$key
key=$new_key
check "old instance accepts the key of the new build" answers $kochi GET /dye-lots/stock/8 '' ''
old key withdraw "$(sed -n 's/^id \([^ ]*\).*/\1/p' <<<"$new_issued")" >/dev/null
check "new instance refuses the key that the old build withdrew" refused_as key-rejected $tvm GET /dye-lots/stock/8 '' ''
key=$old_key

check "share epoch: old instance has two peers" dump_has $kochi_ops '"knownEpoch" : [1-9]'
check "share epoch: new instance has two peers" dump_has $tvm_ops '"knownEpoch" : [1-9]'
epoch_of() { curl -s "http://127.0.0.1:$1/dump" | sed -n 's/.*"epoch" : \([0-9]*\).*/\1/p' | head -1; }
same_epoch() { [ -n "$(epoch_of $kochi_ops)" ] && [ "$(epoch_of $kochi_ops)" = "$(epoch_of $tvm_ops)" ] && [ "$(epoch_of $tvm_ops)" = "$(epoch_of $kozhikode_ops)" ]; }
check "all three know the same share epoch" same_epoch
held_of() { curl -s "http://127.0.0.1:$1/dump" | sed -n 's/.*"rateUnits" : \([0-9-]*\).*/\1/p' | head -1; }
shares_are_divided() { [ "$(held_of $kochi_ops)" -gt 0 ] && [ "$(held_of $tvm_ops)" -gt 0 ] && [ "$(held_of $kozhikode_ops)" -gt 0 ]; }
check "budget shares have moved to each of the three" shares_are_divided

by_old=$(body_of $kochi POST /dye-lots/records/a k-old lot)
by_new=$(body_of $tvm POST /dye-lots/records/b k-new lot)
check "the old instance's order was answered" grep -q '^target=' <<<"$by_old"
check "the new instance's order was answered" grep -q '^target=' <<<"$by_new"
stop "$targets"
check "new instance repeats the answer that the old one recorded" same_answer "$by_old" $tvm POST /dye-lots/records/a k-old lot
check "old instance repeats the answer that the new one recorded" same_answer "$by_new" $kochi POST /dye-lots/records/b k-new lot
check "new instance refuses another body under the old one's key" refused_as idempotency-key-reused $tvm POST /dye-lots/records/a k-old other

# Targets that end with the first request: two deaths stop a request on all instances.
cat >"$work/DyingTargets.java" <<'J'
import java.net.*;
/** Listens on ports; each listener ends with its first request. */
class DyingTargets {
  public static void main(String[] ports) throws Exception {
    for (String port : ports) {
      ServerSocket listener = new ServerSocket(Integer.parseInt(port), 50, InetAddress.getByName("127.0.0.1"));
      new Thread(() -> {
        while (!listener.isClosed()) {
          try (Socket connection = listener.accept()) {
            if (connection.getInputStream().read() >= 0) { listener.close(); }
          } catch (Exception e) { return; }
        }
      }).start();
    }
  }
}
J
. "$new/bin/java-env.sh"
"$JAVA_HOME/bin/java" "$work/DyingTargets.java" $(seq 21025 21036) >"$work/dying.log" 2>&1 &
dying=$!
pids+=("$dying")
sleep 8
# A request may find no server for a moment after a death, so it is repeated until it is stopped.
until_stopped() {
  local attempt
  for attempt in $(seq 1 20); do
    request "$1" GET "$2" '' '' >>"$work/crashes.txt" || true
    tail -1 "$work/crashes.txt" | grep -q crashes-targets && return 0
    sleep 1
  done
}
until_stopped $kochi /dye-lots/stock/crash-1
until_stopped $tvm /dye-lots/stock/crash-2
stop "$dying"
check "the old instance reported a death" grep -q event=target-died-of-request "$work/old-kochi.log"
check "the new instance reported a death" grep -q event=target-died-of-request "$work/new-tvm.log"
start targets-again "$old" standin-target examples/swatchnet
check "new instance stops the request whose deaths the old one reported" refused_as crashes-targets $kozhikode GET /dye-lots/stock/crash-1 '' ''
check "old instance stops the request whose deaths the new one reported" refused_as crashes-targets $kochi GET /dye-lots/stock/crash-2 '' ''

new status || true
for port in $kochi_ops $tvm_ops $kozhikode_ops; do
  curl -s "http://127.0.0.1:$port/dump" >"$work/dump-$port.json"
done
check "dumps of both builds have the same fields" diff <(grep -oE '"[A-Za-z]+" :' "$work/dump-$kochi_ops.json" | sort -u) <(grep -oE '"[A-Za-z]+" :' "$work/dump-$tvm_ops.json" | sort -u)
metric_names() { curl -s "http://127.0.0.1:$1/metrics" | grep -oE '^[a-z_]+(\{[^}]*le=)?' | sort -u; }
metric_names $kochi_ops >"$work/metrics-old.txt"; metric_names $tvm_ops >"$work/metrics-new.txt"
check "both builds have the same metrics" diff "$work/metrics-old.txt" "$work/metrics-new.txt"
echo "$failures checks failed"
[ "$failures" = 0 ]
