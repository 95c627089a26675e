package org.bambooarch.gateway.spi;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Internal headers between an instance that is partitioned from the servers, or from the store, and
 * the one that forwards its requests or calls. They are read on the relay port only, and are never
 * passed on to clients or servers.
 */
public final class RelayHeaders {

  /** Names the id of the server that a relayed request is for. */
  public static final String SERVER = "x-bambooarch-relay-server";

  /** Marks a response that the relay instance created itself, with what became of the request. */
  public static final String OUTCOME = "x-bambooarch-relay-outcome";

  /** Marks a call that is to be passed on to the store. */
  public static final String STORE_CALL = "x-bambooarch-relay-store-call";

  /** The lower-case names of all internal headers. */
  public static final Set<String> NAMES = Set.of(SERVER, OUTCOME, STORE_CALL);

  /** What became of a relayed request for which there is no response of the server. */
  public enum Outcome {
    /** The relay instance sent nothing to the server. */
    NOT_SENT,
    /** The request was sent to the server, but no complete response arrived. */
    LOST;

    /** Returns the value of the header {@link #OUTCOME}. */
    public String headerValue() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the outcome for a value of the header; empty if there is none. An unknown value
     * counts as {@link #LOST}, which claims nothing about the request.
     */
    public static Optional<Outcome> parse(String value) {
      if (value == null) {
        return Optional.empty();
      }
      return Optional.of(value.equals(NOT_SENT.headerValue()) ? NOT_SENT : LOST);
    }
  }

  private RelayHeaders() {}
}
