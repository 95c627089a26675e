package org.bambooarch.core.request.crash;

import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the one server that may run a suspected request.
 *
 * <p>Rendezvous hashing makes all instances choose the same server without exchanging messages, so
 * that copies of the request that arrive at several instances at once can crash one more server and
 * no more.
 */
public final class SuspectServerChoice {

  private SuspectServerChoice() {}

  /**
   * Returns the server for a suspected request, or empty if only the crashed one serves the route.
   *
   * @param fingerprint fingerprint of the request
   * @param crashedServer name of the server that is not chosen
   * @param servers names of all servers that serve the route, including the crashed one
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
