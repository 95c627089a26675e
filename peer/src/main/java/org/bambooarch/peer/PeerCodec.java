package org.bambooarch.peer;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.peer.codec.BudgetMessageCodec;
import org.bambooarch.peer.codec.ConfigMessageCodec;
import org.bambooarch.peer.codec.CrashMessageCodec;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;

/** Converts every type of message that instances exchange, with the codec of its interface. */
public final class PeerCodec {

  private final List<MessageCodec<?>> codecs;
  private final Map<Envelope.BodyCase, MessageCodec<?>> codecsByBodyCase;

  private PeerCodec(List<MessageCodec<?>> codecs) {
    this.codecs = List.copyOf(codecs);
    this.codecsByBodyCase = new EnumMap<>(Envelope.BodyCase.class);
    for (MessageCodec<?> codec : codecs) {
      codecsByBodyCase.put(codec.bodyCase(), codec);
    }
  }

  /** Returns a codec for all messages of this version. */
  public static PeerCodec standard() {
    return of(List.of(new ConfigMessageCodec(), new BudgetMessageCodec(), new CrashMessageCodec()));
  }

  /** Returns a codec for the messages of the given codecs; each must have its own body case. */
  public static PeerCodec of(List<MessageCodec<?>> codecs) {
    return new PeerCodec(codecs);
  }

  /**
   * Returns an envelope whose body is the message.
   *
   * @throws IllegalArgumentException if no codec is registered for the message's type
   */
  public Envelope encode(PeerMessage message) {
    for (MessageCodec<?> codec : codecs) {
      if (codec.messageType().isInstance(message)) {
        return encodeWith(codec, message);
      }
    }
    throw new IllegalArgumentException(
        "no codec is registered for peer message " + message.getClass().getName());
  }

  /**
   * Returns the message in an envelope, or empty if this version does not know the body case of the
   * envelope or the type of the message in that body.
   */
  public Optional<PeerMessage> decode(Envelope envelope) {
    MessageCodec<?> codec = codecsByBodyCase.get(envelope.getBodyCase());
    if (codec == null) {
      return Optional.empty();
    }
    return codec.decode(envelope).map(PeerMessage.class::cast);
  }

  private static <M extends PeerMessage> Envelope encodeWith(
      MessageCodec<M> codec, PeerMessage message) {
    return codec.encode(codec.messageType().cast(message));
  }
}
