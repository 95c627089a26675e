package org.bambooarch.peer.codec;

import java.util.Optional;
import org.bambooarch.core.request.crash.CrashEvidence;
import org.bambooarch.core.request.crash.CrashFingerprint;
import org.bambooarch.core.request.crash.CrashMessage;
import org.bambooarch.peer.MessageCodec;
import org.bambooarch.peer.generated.PeerProtocol;
import org.bambooarch.peer.generated.PeerProtocol.CrashBody;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;

/** Converts the messages about requests that crash targets. */
public final class CrashMessageCodec implements MessageCodec<CrashMessage> {

  @Override
  public Class<CrashMessage> messageType() {
    return CrashMessage.class;
  }

  @Override
  public Envelope.BodyCase bodyCase() {
    return Envelope.BodyCase.CRASH;
  }

  @Override
  public Envelope encode(CrashMessage message) {
    CrashBody.Builder body = CrashBody.newBuilder();
    switch (message) {
      case CrashMessage.CrashReport report -> body.setReport(encodeCrashReport(report.evidence()));
      case CrashMessage.CrashCleared cleared -> body.setCleared(encodeCrashCleared(cleared));
    }
    return Envelope.newBuilder().setCrash(body).build();
  }

  @Override
  public Optional<CrashMessage> decode(Envelope envelope) {
    CrashBody body = envelope.getCrash();
    return switch (body.getMessageCase()) {
      case REPORT -> Optional.of(decodeCrashReport(body.getReport()));
      case CLEARED -> Optional.of(decodeCrashCleared(body.getCleared()));
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static PeerProtocol.CrashReport encodeCrashReport(CrashEvidence evidence) {
    return PeerProtocol.CrashReport.newBuilder()
        .setFingerprint(evidence.fingerprint().hex())
        .setServer(evidence.server())
        .setInstance(evidence.instance())
        .setIncarnation(evidence.incarnation())
        .setSequence(evidence.sequence())
        .setExpiresAtWallMillis(evidence.expiresAtWallMillis())
        .build();
  }

  private static CrashMessage decodeCrashReport(PeerProtocol.CrashReport report) {
    return new CrashMessage.CrashReport(
        new CrashEvidence(
            new CrashFingerprint(report.getFingerprint()),
            report.getServer(),
            report.getInstance(),
            report.getIncarnation(),
            report.getSequence(),
            report.getExpiresAtWallMillis()));
  }

  private static PeerProtocol.CrashCleared encodeCrashCleared(CrashMessage.CrashCleared cleared) {
    return PeerProtocol.CrashCleared.newBuilder()
        .setFingerprint(cleared.fingerprint().hex())
        .addAllEvidenceIds(cleared.evidenceIds())
        .setExpiresAtWallMillis(cleared.expiresAtWallMillis())
        .build();
  }

  private static CrashMessage decodeCrashCleared(PeerProtocol.CrashCleared cleared) {
    return new CrashMessage.CrashCleared(
        new CrashFingerprint(cleared.getFingerprint()),
        cleared.getEvidenceIdsList(),
        cleared.getExpiresAtWallMillis());
  }
}
