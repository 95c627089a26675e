package org.bambooarch.gateway.endpoint;

import org.bambooarch.core.steering.fleet.DirectoryAnswer;
import org.bambooarch.core.steering.fleet.DirectoryLookup;
import org.bambooarch.core.steering.fleet.DirectoryScope;
import org.bambooarch.core.steering.fleet.FleetTable;
import org.bambooarch.core.steering.fleet.RegionCounts;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.LogWord;
import org.bambooarch.gateway.observability.RequestEventLog;

/**
 * Counts the answers to look-ups, and logs those without a ready instance of the caller's region
 * with what this instance knows of that region. Used on the event loop only.
 */
public final class LookupLogger {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlState state;
  private final RequestEventLog requestLog;
  private final GatewayMetrics metrics;
  private final long startNanos;

  /** Creates the logger of an instance that starts now. */
  public LookupLogger(ControlState state, RequestEventLog requestLog, GatewayMetrics metrics) {
    this.state = state;
    this.requestLog = requestLog;
    this.metrics = metrics;
    this.startNanos = state.clock().monotonicNanos();
  }

  /** Counts an answer, and logs it if it has no ready instance of the caller's region. */
  void onAnswered(DirectoryLookup lookup, DirectoryAnswer answer) {
    metrics.onLookup(answer.scope());
    if (shouldLog(answer.scope())) {
      requestLog.write(
          "event=lookup-answered scope=%s host=%s region=%s data-centre=%s addresses=%d %s %s %s"
              .formatted(
                  GatewayMetrics.labelOf(answer.scope()),
                  LogWord.of(lookup.host()),
                  LogWord.of(lookup.region()),
                  LogWord.of(lookup.dataCentre()),
                  answer.addresses().size(),
                  describeSelf(),
                  describeFleet(),
                  describeRegion(lookup.region())));
    }
  }

  private boolean shouldLog(DirectoryScope scope) {
    return switch (scope) {
      case DATA_CENTRE, REGION -> false;
      case STOPPING_IN_REGION, HOME_REGIONS, ANY_REGION, NONE ->
          requestLog.tryAcquireLineOfCause("lookup-" + GatewayMetrics.labelOf(scope));
    };
  }

  private String describeSelf() {
    return "self-region=%s self-ready=%b stopping=%b partitioned=%b up-millis=%d"
        .formatted(
            state.fleet().self().region(),
            state.isReady(),
            state.isShuttingDown(),
            state.isPartitionedFromServers(),
            (nowNanos() - startNanos) / NANOS_PER_MILLI);
  }

  private String describeFleet() {
    FleetTable fleet = state.fleet();
    return "list-read=%b known=%d live=%d"
        .formatted(
            fleet.isListRead(),
            fleet.knownInstances() - 1,
            fleet.liveHeartbeats(nowNanos()).size());
  }

  private String describeRegion(String region) {
    RegionCounts counts = state.fleet().countOthersIn(region, nowNanos());
    return "region-known=%d region-unheard=%d region-live=%d region-taking=%d region-partitioned=%d"
        .formatted(
            counts.known(),
            counts.unheard(),
            counts.live(),
            counts.takingCallers(),
            counts.partitioned());
  }

  private long nowNanos() {
    return state.clock().monotonicNanos();
  }
}
