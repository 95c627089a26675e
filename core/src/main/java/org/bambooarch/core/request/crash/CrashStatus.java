package org.bambooarch.core.request.crash;

/** Whether a request is suspected of crashing its targets, and how it is therefore sent. */
public sealed interface CrashStatus {

  /** No crash is known; any server may be chosen. */
  record Clear() implements CrashStatus {}

  /**
   * One crash is known: all instances send the request to one and the same server.
   *
   * @param crashedServer name of the server that crashed, which is not chosen again
   */
  record Suspect(String crashedServer) implements CrashStatus {}

  /**
   * Two or more crashes are known: the request is sent to no server.
   *
   * @param untilWallMillis wall-clock time in milliseconds at which the last known evidence expires
   */
  record Blocked(long untilWallMillis) implements CrashStatus {}
}
