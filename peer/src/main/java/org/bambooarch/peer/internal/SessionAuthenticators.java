package org.bambooarch.peer.internal;

import org.bambooarch.peer.Secret;
import org.bambooarch.peer.generated.PeerProtocol.Hello;

/**
 * The frame authenticators of both directions of a session.
 *
 * @param opener for frames that the side that opened the connection sends
 * @param acceptor for frames that the side that accepted it sends
 */
record SessionAuthenticators(FrameAuthenticator opener, FrameAuthenticator acceptor) {

  static SessionAuthenticators derive(Secret secret, Hello opener, Hello acceptor) {
    return new SessionAuthenticators(
        new FrameAuthenticator(
            Handshake.derive(secret, Handshake.Label.OPENER_FRAMES, opener, acceptor)),
        new FrameAuthenticator(
            Handshake.derive(secret, Handshake.Label.ACCEPTOR_FRAMES, opener, acceptor)));
  }
}
