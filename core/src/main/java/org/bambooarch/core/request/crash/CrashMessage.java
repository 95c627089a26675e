package org.bambooarch.core.request.crash;

import java.util.List;
import org.bambooarch.core.peer.PeerMessage;

/** Messages between entry instances about requests that crash their targets. */
public sealed interface CrashMessage extends PeerMessage {

  /**
   * A run of a request ended with a crash of its target.
   *
   * @param evidence the observed crash; a repeated report of it counts once
   */
  record CrashReport(CrashEvidence evidence) implements CrashMessage {}

  /**
   * A suspected request got a complete response, so the crashes before it had another cause.
   *
   * @param fingerprint fingerprint of the request
   * @param evidenceIds ids of the evidence that no longer counts, even if it arrives after this
   *     message
   * @param expiresAtWallMillis wall-clock time in milliseconds from which this message may be
   *     forgotten, because all of its evidence has expired
   */
  record CrashCleared(
      CrashFingerprint fingerprint, List<String> evidenceIds, long expiresAtWallMillis)
      implements CrashMessage {

    /** Copies the ids, so that later changes of the passed list have no effect. */
    public CrashCleared {
      evidenceIds = List.copyOf(evidenceIds);
    }
  }
}
