package org.bambooarch.peer.codec;

import java.util.List;
import java.util.Optional;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.peer.MessageCodec;
import org.bambooarch.peer.generated.PeerProtocol;
import org.bambooarch.peer.generated.PeerProtocol.ConfigBody;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;

/**
 * Converts the messages by which instances send each other the configuration.
 *
 * <p>An unknown age, which is negative in {@link ConfigMessage.HeadStatement}, is left out of the
 * protobuf message.
 */
public final class ConfigMessageCodec implements MessageCodec<ConfigMessage> {

  @Override
  public Class<ConfigMessage> messageType() {
    return ConfigMessage.class;
  }

  @Override
  public Envelope.BodyCase bodyCase() {
    return Envelope.BodyCase.CONFIG;
  }

  @Override
  public Envelope encode(ConfigMessage message) {
    ConfigBody.Builder body = ConfigBody.newBuilder();
    switch (message) {
      case ConfigMessage.HeadProbe probe -> body.setHeadProbe(encodeHeadProbe(probe));
      case ConfigMessage.HeadStatement statement ->
          body.setHeadStatement(encodeHeadStatement(statement));
      case ConfigMessage.Deltas deltas -> body.setDeltas(encodeDeltas(deltas));
      case ConfigMessage.PullDeltas pull -> body.setPullDeltas(encodePullDeltas(pull));
      case ConfigMessage.PullSnapshot pull -> body.setPullSnapshot(encodePullSnapshot(pull));
      case ConfigMessage.SnapshotPart part -> body.setSnapshotPart(encodeSnapshotPart(part));
    }
    return Envelope.newBuilder().setConfig(body).build();
  }

  @Override
  public Optional<ConfigMessage> decode(Envelope envelope) {
    ConfigBody body = envelope.getConfig();
    return switch (body.getMessageCase()) {
      case HEAD_PROBE -> Optional.of(decodeHeadProbe(body.getHeadProbe()));
      case HEAD_STATEMENT -> Optional.of(decodeHeadStatement(body.getHeadStatement()));
      case DELTAS -> Optional.of(decodeDeltas(body.getDeltas()));
      case PULL_DELTAS ->
          Optional.of(new ConfigMessage.PullDeltas(body.getPullDeltas().getAfterVersion()));
      case PULL_SNAPSHOT -> Optional.of(decodePullSnapshot(body.getPullSnapshot()));
      case SNAPSHOT_PART -> Optional.of(decodeSnapshotPart(body.getSnapshotPart()));
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static PeerProtocol.HeadProbe encodeHeadProbe(ConfigMessage.HeadProbe probe) {
    return PeerProtocol.HeadProbe.newBuilder()
        .setNumber(probe.number())
        .setAppliedVersion(probe.appliedVersion())
        .build();
  }

  private static ConfigMessage decodeHeadProbe(PeerProtocol.HeadProbe probe) {
    return new ConfigMessage.HeadProbe(probe.getNumber(), probe.getAppliedVersion());
  }

  private static PeerProtocol.HeadStatement encodeHeadStatement(
      ConfigMessage.HeadStatement statement) {
    PeerProtocol.HeadStatement.Builder builder =
        PeerProtocol.HeadStatement.newBuilder()
            .setProbeNumber(statement.probeNumber())
            .setAppliedVersion(statement.appliedVersion())
            .setHeadVersion(statement.headVersion());
    if (statement.headAgeNanos() >= 0) {
      builder.setHeadAgeNanos(statement.headAgeNanos());
    }
    if (statement.observedOutageAgeNanos() >= 0) {
      builder.setObservedOutageAgeNanos(statement.observedOutageAgeNanos());
    }
    if (statement.attestedOutageAgeNanos() >= 0) {
      builder.setAttestedOutageAgeNanos(statement.attestedOutageAgeNanos());
    }
    return builder.build();
  }

  private static ConfigMessage decodeHeadStatement(PeerProtocol.HeadStatement statement) {
    return new ConfigMessage.HeadStatement(
        statement.getProbeNumber(),
        statement.getAppliedVersion(),
        statement.getHeadVersion(),
        ageOrUnknown(statement.hasHeadAgeNanos(), statement.getHeadAgeNanos()),
        ageOrUnknown(statement.hasObservedOutageAgeNanos(), statement.getObservedOutageAgeNanos()),
        ageOrUnknown(statement.hasAttestedOutageAgeNanos(), statement.getAttestedOutageAgeNanos()));
  }

  private static long ageOrUnknown(boolean known, long ageNanos) {
    return known && ageNanos >= 0 ? ageNanos : ConfigMessage.UNKNOWN_AGE_NANOS;
  }

  private static PeerProtocol.Deltas encodeDeltas(ConfigMessage.Deltas deltas) {
    PeerProtocol.Deltas.Builder builder = PeerProtocol.Deltas.newBuilder();
    for (LoggedChange change : deltas.changes()) {
      builder.addChanges(
          PeerProtocol.LoggedChange.newBuilder()
              .setVersion(change.version())
              .setText(change.text()));
    }
    return builder.build();
  }

  private static ConfigMessage decodeDeltas(PeerProtocol.Deltas deltas) {
    List<LoggedChange> changes =
        deltas.getChangesList().stream()
            .map(change -> new LoggedChange(change.getVersion(), change.getText()))
            .toList();
    return new ConfigMessage.Deltas(changes);
  }

  private static PeerProtocol.PullDeltas encodePullDeltas(ConfigMessage.PullDeltas pull) {
    return PeerProtocol.PullDeltas.newBuilder().setAfterVersion(pull.afterVersion()).build();
  }

  private static PeerProtocol.PullSnapshot encodePullSnapshot(ConfigMessage.PullSnapshot pull) {
    return PeerProtocol.PullSnapshot.newBuilder()
        .setVersion(pull.version())
        .setOffsetChars(pull.offsetChars())
        .build();
  }

  private static ConfigMessage decodePullSnapshot(PeerProtocol.PullSnapshot pull) {
    return new ConfigMessage.PullSnapshot(pull.getVersion(), pull.getOffsetChars());
  }

  private static PeerProtocol.SnapshotPart encodeSnapshotPart(ConfigMessage.SnapshotPart part) {
    return PeerProtocol.SnapshotPart.newBuilder()
        .setVersion(part.version())
        .setTotalChars(part.totalChars())
        .setOffsetChars(part.offsetChars())
        .setText(part.text())
        .build();
  }

  private static ConfigMessage decodeSnapshotPart(PeerProtocol.SnapshotPart part) {
    return new ConfigMessage.SnapshotPart(
        part.getVersion(), part.getTotalChars(), part.getOffsetChars(), part.getText());
  }
}
