package org.bambooarch.peer.internal;

import org.bambooarch.peer.Secret;
import org.bambooarch.peer.generated.PeerProtocol.Hello;

/**
 * The seals of both directions of a session.
 *
 * @param opener seal of the side that opened the connection
 * @param acceptor seal of the side that accepted it
 */
record SessionKeys(FrameSeal opener, FrameSeal acceptor) {

  static SessionKeys derive(Secret secret, Hello opener, Hello acceptor) {
    return new SessionKeys(
        new FrameSeal(Handshake.derive(secret, Handshake.Label.OPENER_FRAMES, opener, acceptor)),
        new FrameSeal(Handshake.derive(secret, Handshake.Label.ACCEPTOR_FRAMES, opener, acceptor)));
  }
}
