package org.bambooarch.gateway.observability;

/** How a request ended. Logs and metrics state the constants in lower case with hyphens. */
public enum RequestOutcome {
  /** A server's response was relayed. */
  ANSWERED,
  /** A server's failure response (5xx) was relayed. */
  SERVER_FAILURE,
  /** The instance does not have a configuration or the list of servers yet. */
  NO_CONFIGURATION,
  /**
   * The configuration in force does not permit the request, but operators may have written a newer
   * one that does.
   */
  CONFIGURATION_OUTDATED,
  /** No route matches the host and path. */
  NO_ROUTE,
  /** The route needs an API key, and the request has none that belongs to a customer. */
  KEY_REJECTED,
  /** The request body exceeds the limit. */
  TOO_LARGE,
  /** The customer has exceeded its rate limit. */
  OVER_RATE,
  /** The request has crashed servers before, so it is sent to no further one for a time. */
  CRASHES_SERVERS,
  /** No server has free capacity soon enough. */
  NO_ROOM,
  /** The instance is partitioned from all servers, and no other instance can forward requests. */
  PARTITIONED,
  /** Servers rejected the request or could not be reached, and no further attempt is permitted. */
  REJECTED,
  /** The event loop was so far behind that the client may have given the request up. */
  OVERLOADED,
  /** The instance is stopping and accepts no further requests. */
  STOPPING,
  /** The deadline of the request passed. */
  TIMED_OUT,
  /**
   * The connection to a server was lost before its response was complete, so the outcome is
   * unknown.
   */
  LOST,
  /** The client disconnected before the response was complete. */
  CALLER_LEFT
}
