package org.bambooarch.peer;

/** Something about a connection between instances that operators may want to see in the log. */
public sealed interface PeerEvent {

  /** Returns the other instance, or its address while its name is not proven. */
  String peer();

  /** A connection that this instance opened is authenticated and carries messages. */
  record Connected(String peer) implements PeerEvent {}

  /** A connection that this instance opened has ended; another is opened later. */
  record Disconnected(String peer, String reason) implements PeerEvent {}

  /** An incoming connection was refused. */
  record Rejected(String peer, String reason) implements PeerEvent {}
}
