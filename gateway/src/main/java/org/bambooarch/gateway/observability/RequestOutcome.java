package org.bambooarch.gateway.observability;

/** How a request ended, as logs and metrics name it. */
public enum RequestOutcome {
  /** A server's answer was passed on. */
  ANSWERED,
  /** A server's failure was passed on. */
  SERVER_FAILURE,
  /** No configuration is known yet. */
  NO_CONFIGURATION,
  /** No route matches. */
  NO_ROUTE,
  /** No customer holds the key. */
  KEY_REJECTED,
  /** The body is over the limit. */
  TOO_LARGE,
  /** The customer has used up its rate. */
  OVER_RATE,
  /** The request crashed servers before. */
  CRASHES_SERVERS,
  /** No server has room soon enough. */
  NO_ROOM,
  /** Servers rejected the request and none is left to try. */
  REJECTED,
  /** The instance is stopping. */
  STOPPING,
  /** The time for the request is over. */
  TIMED_OUT,
  /** The connection to the server was lost, so the outcome is unknown. */
  LOST,
  /** The caller left. */
  CALLER_LEFT
}
