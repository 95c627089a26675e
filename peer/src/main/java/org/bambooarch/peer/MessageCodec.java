package org.bambooarch.peer;

import java.util.Optional;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;

/**
 * Converts the messages of one sealed interface, such as all configuration messages, to protobuf
 * and back.
 *
 * <p>To add a message type: add it to the {@code .proto} file, run {@code bin/generate-protocol},
 * and extend the switches of its codec. To add a sealed interface: add a body to {@code Envelope},
 * write a codec and list it in {@link PeerCodec#standard()}.
 *
 * @param <M> sealed interface of the messages
 */
public interface MessageCodec<M extends PeerMessage> {

  /** Returns the sealed interface whose messages this codec converts. */
  Class<M> messageType();

  /** Returns the body of the envelope that carries these messages. */
  Envelope.BodyCase bodyCase();

  /** Returns an envelope whose body is the message. */
  Envelope encode(M message);

  /**
   * Returns the message in an envelope whose body is {@link #bodyCase}, or empty if this version
   * does not know its type.
   */
  Optional<M> decode(Envelope envelope);
}
