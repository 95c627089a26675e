package org.bambooarch.core.request.crash;

/** How far a request is suspected of crashing its targets. */
public sealed interface CrashStatus {

  /** No death is known. */
  record Clear() implements CrashStatus {}

  /**
   * One death is known: all instances send the request to one and the same server.
   *
   * @param crashedServer name of the server that died, which is not chosen again
   */
  record Suspect(String crashedServer) implements CrashStatus {}

  /**
   * Two deaths are known: the request is sent to no server.
   *
   * @param untilWallMillis wall moment at which the evidence expires
   */
  record Blocked(long untilWallMillis) implements CrashStatus {}
}
