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

/** The registry of all message types that instances exchange. */
public final class PeerCodec {

  private final List<DomainCodec<?>> domains;
  private final Map<Envelope.BodyCase, DomainCodec<?>> domainsByBody;

  private PeerCodec(List<DomainCodec<?>> domains) {
    this.domains = List.copyOf(domains);
    this.domainsByBody = new EnumMap<>(Envelope.BodyCase.class);
    for (DomainCodec<?> domain : domains) {
      domainsByBody.put(domain.bodyCase(), domain);
    }
  }

  /** Returns the registry with all concerns of this version. */
  public static PeerCodec standard() {
    return of(List.of(new ConfigMessageCodec(), new BudgetMessageCodec(), new CrashMessageCodec()));
  }

  /** Returns a registry with the given concerns. */
  public static PeerCodec of(List<DomainCodec<?>> domains) {
    return new PeerCodec(domains);
  }

  /** Returns the envelope of a message. */
  public Envelope encode(PeerMessage message) {
    for (DomainCodec<?> domain : domains) {
      if (domain.domain().isInstance(message)) {
        return encodeWith(domain, message);
      }
    }
    throw new IllegalArgumentException(
        "no codec is registered for peer message " + message.getClass().getName());
  }

  /** Returns the message of an envelope, or empty if this version does not know it. */
  public Optional<PeerMessage> decode(Envelope envelope) {
    DomainCodec<?> domain = domainsByBody.get(envelope.getBodyCase());
    if (domain == null) {
      return Optional.empty();
    }
    return domain.decode(envelope).map(PeerMessage.class::cast);
  }

  private static <M extends PeerMessage> Envelope encodeWith(
      DomainCodec<M> domain, PeerMessage message) {
    return domain.encode(domain.domain().cast(message));
  }
}
