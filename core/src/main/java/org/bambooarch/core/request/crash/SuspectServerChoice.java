package org.bambooarch.core.request.crash;

import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the one server that runs a suspected request.
 *
 * <p>Rendezvous hashing gives all instances the same choice without a message, so that copies sent
 * through several instances at once can take one more server and not more.
 */
public final class SuspectServerChoice {

  private SuspectServerChoice() {}

  /**
   * Returns the server for a suspected request.
   *
   * @param fingerprint the request
   * @param crashedServer server that is not chosen
   * @param servers names of all servers that serve the route, the dead one included
   */
  public static Optional<String> choose(
      CrashFingerprint fingerprint, String crashedServer, Collection<String> servers) {
    String best = null;
    long bestScore = Long.MIN_VALUE;
    for (String server : servers) {
      if (server.equals(crashedServer)) {
        continue;
      }
      long score = score(fingerprint, server);
      if (best == null || score > bestScore) {
        best = server;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  private static long score(CrashFingerprint fingerprint, String server) {
    long hash = fingerprint.hex().hashCode() * 0x9e3779b97f4a7c15L + server.hashCode();
    hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
    return hash ^ (hash >>> 31);
  }
}
