package org.bambooarch.gateway.target;

/**
 * The place of a request on a connection.
 *
 * @param connection the connection
 * @param order which request of the connection it is, from 1; 0 before the first
 */
public record ConnectionUse(ConnectionHistory connection, long order) {

  /** Returns connection and order for the log, for example {@code c12/3}. */
  public String describe() {
    return "c" + connection.number() + "/" + order;
  }
}
