package org.bambooarch.gateway.target;

/** Receives the responses that were passed on to no request. Used on the event loop only. */
@FunctionalInterface
public interface SkippedResponseListener {

  /**
   * Called when a response was skipped.
   *
   * @param server id of the server, or address and port of the relay instance
   */
  void onResponseSkipped(String server, SkippedResponse response);
}
