package org.bambooarch.entry.operators;

import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.entry.control.FleetView;

/** Puts the sections and metrics together that every entry instance shows to operators. */
public final class InstancePages {

  private InstancePages() {}

  /** Returns the operators' server of an instance, not started yet. */
  public static OperatorsServer serverFor(
      EntrySettings settings,
      Supplier<FleetView> views,
      Supplier<Readiness> readiness,
      IntSupplier runningRequests,
      EntryMetrics metrics) {
    metrics
        .gauge(
            "bambooarch_configuration_version",
            "Version of the configuration in force.",
            () -> views.get().config().version())
        .gauge(
            "bambooarch_instances_listed",
            "Instances that the platform listed last.",
            () -> views.get().instances().size())
        .gauge(
            "bambooarch_requests_running",
            "Requests that run on this instance now.",
            runningRequests::getAsInt)
        .gauge(
            "bambooarch_ready",
            "Whether the instance takes new requests: 1 or 0.",
            () -> readiness.get() instanceof Readiness.Ready ? 1 : 0);
    StateDump dump =
        new StateDump()
            .add("settings", () -> settings)
            .add("readiness", readiness)
            .add("configuration", () -> StateSections.configuration(views.get().config()))
            .add("instances", () -> views.get().instances())
            .add("requestsRunning", runningRequests::getAsInt)
            .add("process", StateSections::process);
    return OperatorsServer.on(settings.host(), settings.operatorsPort(), readiness, dump, metrics);
  }
}
