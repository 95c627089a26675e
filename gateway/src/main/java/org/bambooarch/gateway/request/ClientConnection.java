package org.bambooarch.gateway.request;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/**
 * The requests that a client has sent over one connection, possibly before earlier ones have been
 * answered.
 *
 * <p>Clients take what they sent behind a response that closes the connection as not read, and send
 * it again. Only the response to the newest request may therefore close the connection.
 *
 * <p>Used on the event loop only.
 */
final class ClientConnection {

  private static final AttributeKey<ClientConnection> ATTRIBUTE =
      AttributeKey.valueOf(ClientConnection.class, "requests");

  private long requests;

  private ClientConnection() {}

  /** Returns the connection of a channel. */
  static ClientConnection of(Channel channel) {
    ClientConnection connection = channel.attr(ATTRIBUTE).get();
    if (connection == null) {
      connection = new ClientConnection();
      channel.attr(ATTRIBUTE).set(connection);
    }
    return connection;
  }

  /** Counts a request that has arrived, and returns its number. */
  long onRequest() {
    return ++requests;
  }

  /** Returns whether no request has arrived after the one with this number. */
  boolean isNewest(long number) {
    return number == requests;
  }
}
