package org.bambooarch.entry.operators;

import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.bambooarch.core.config.ReplicationStatus;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.entry.control.ControlLoop;
import org.bambooarch.entry.control.FleetView;
import org.bambooarch.peer.PeerStatus;

/** Creates the operators' server of an entry instance, with its state sections and gauges. */
public final class OperatorsServerFactory {

  private static final double NANOS_PER_SECOND = 1e9;

  private OperatorsServerFactory() {}

  /** Returns a server that is not started yet; adds the instance's gauges to the metrics. */
  public static OperatorsServer create(
      EntrySettings settings,
      ControlLoop control,
      Supplier<Readiness> readiness,
      IntSupplier requestsRunning,
      EntryMetrics metrics) {
    registerConfiguration(metrics, control::replicationStatus);
    registerFleet(metrics, control);
    metrics
        .addGauge(
            "bambooarch_requests_running",
            "Requests that run on this instance now.",
            requestsRunning::getAsInt)
        .addGauge(
            "bambooarch_control_faults",
            "Tasks of the control thread that failed since the start.",
            control::failedTasks)
        .addGauge(
            "bambooarch_ready",
            "Whether the instance takes new requests: 1 or 0.",
            () -> readiness.get() instanceof Readiness.Ready ? 1 : 0);
    Supplier<FleetView> view = control::view;
    StateDump dump =
        new StateDump()
            .add("settings", () -> StateSections.settings(settings))
            .add("readiness", readiness)
            .add("configuration", () -> StateSections.configuration(view.get().config()))
            .add("spread", control::replicationStatus)
            .add("instances", () -> view.get().instances())
            .add("peers", control::peerStatuses)
            .add("budgets", () -> control.budgetDump().stream().toList())
            .add("targets", () -> TargetSections.of(control.routing().chooser()))
            .add("requestsRunning", requestsRunning::getAsInt)
            .add("process", StateSections::process);
    return OperatorsServer.create(
        settings.host(), settings.operatorsPort(), readiness, dump, metrics);
  }

  private static void registerConfiguration(
      EntryMetrics metrics, Supplier<ReplicationStatus> status) {
    metrics
        .addGauge(
            "bambooarch_configuration_version",
            "Version of the configuration in force.",
            () -> status.get().version())
        .addGauge(
            "bambooarch_configuration_known_version",
            "Highest version known to be accepted.",
            () -> status.get().knownHeadVersion())
        .addGauge(
            "bambooarch_configuration_proof_age_seconds",
            "Age of the last proof by the table that the version in force is newest; -1 for none.",
            () -> ageSeconds(status.get().headAgeNanos()));
  }

  private static void registerFleet(EntryMetrics metrics, ControlLoop control) {
    metrics
        .addGauge(
            "bambooarch_instances_listed",
            "Instances that the platform listed last.",
            () -> control.view().instances().size())
        .addGauge(
            "bambooarch_peers_connected",
            "Other instances to which messages can be sent now.",
            () -> control.peerStatuses().stream().filter(PeerStatus::connected).count());
  }

  private static double ageSeconds(long nanos) {
    return nanos < 0 ? -1 : nanos / NANOS_PER_SECOND;
  }
}
