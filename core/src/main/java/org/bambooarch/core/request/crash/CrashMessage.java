package org.bambooarch.core.request.crash;

import java.util.List;
import org.bambooarch.core.peer.PeerMessage;

/** What entry instances tell each other about requests that crash targets. */
public sealed interface CrashMessage extends PeerMessage {

  /**
   * A request ended with the death of its target.
   *
   * @param evidence the death; a repeated report counts once
   */
  record CrashReport(CrashEvidence evidence) implements CrashMessage {}

  /**
   * A suspected request was answered in full, so the deaths before had another cause.
   *
   * @param fingerprint the request
   * @param evidenceIds the evidence that no longer counts, also when it arrives later
   * @param expiresAtWallMillis wall moment after which the clearance may be forgotten
   */
  record CrashCleared(
      CrashFingerprint fingerprint, List<String> evidenceIds, long expiresAtWallMillis)
      implements CrashMessage {

    /** Copies the list. */
    public CrashCleared {
      evidenceIds = List.copyOf(evidenceIds);
    }
  }
}
