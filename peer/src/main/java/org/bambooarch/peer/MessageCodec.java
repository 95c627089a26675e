package org.bambooarch.peer;

import java.util.Optional;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;

/**
 * Maps the messages of one concern to the wire format.
 *
 * <p>To add a message type: add it to the {@code .proto} file, run {@code bin/generate-protocol},
 * and extend the switches of its codec. To add a concern: add a body to {@code Envelope}, write a
 * codec and list it in {@link PeerCodec#standard()}.
 *
 * @param <M> sealed interface of the concern
 */
public interface MessageCodec<M extends PeerMessage> {

  /** Returns the sealed interface whose messages are mapped. */
  Class<M> messageType();

  /** Returns the body of the envelope that carries them. */
  Envelope.BodyCase bodyCase();

  /** Returns the envelope that carries a message. */
  Envelope encode(M message);

  /** Returns the message, or empty for a type that this version does not know. */
  Optional<M> decode(Envelope envelope);
}
