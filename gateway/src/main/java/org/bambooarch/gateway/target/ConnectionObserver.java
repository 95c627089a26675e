package org.bambooarch.gateway.target;

import org.bambooarch.core.steering.place.ServerEntry;

/**
 * Receives what connections say about whether servers can be reached.
 *
 * <p>Used on the event loop only.
 */
public interface ConnectionObserver {

  /** Called when a new connection was opened, for a request or a probe. */
  void onConnected(ServerEntry server);

  /** Called when a connection for a request could not be opened. */
  void onConnectFailed(ServerEntry server);

  /** Called when a connection for a probe could not be opened. */
  void onProbeFailed(ServerEntry server);

  /** Called when a connection takes unusually long to open. */
  void onConnectSlow();

  /** Called when data arrived from any server. */
  void onRead();
}
