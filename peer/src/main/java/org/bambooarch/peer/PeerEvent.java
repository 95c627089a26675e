package org.bambooarch.peer;

/** A change in the state of a connection between instances, to be logged for operators. */
public sealed interface PeerEvent {

  /** Returns the name of the other instance, or its address if it is not authenticated. */
  String peer();

  /** A connection that this instance opened is authenticated; messages can be sent on it. */
  record Connected(String peer) implements PeerEvent {}

  /** A connection that this instance opened was closed; another is opened after a delay. */
  record Disconnected(String peer, String reason) implements PeerEvent {}

  /** An incoming connection was closed before it was authenticated. */
  record Rejected(String peer, String reason) implements PeerEvent {}
}
