package org.bambooarch.core.request.header;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which headers are passed on between callers and targets.
 *
 * <p>Removed in both directions: the hop-by-hop headers of RFC 9110 section 7.6.1, each header that
 * a {@code Connection} header lists, pseudo-headers, and all headers that only this system may set.
 * Also removed from requests: all headers that can carry an API key, headers whose value contains
 * the caller's key, and headers whose name is not a token. The same rules hold for trailers of
 * responses; trailers of requests are not passed on at all.
 */
public final class HeaderRules {

  /** Header that carries the caller's API key. */
  public static final String API_KEY = "x-api-key";

  /** Header that may carry the caller's API key as a bearer token instead. */
  public static final String AUTHORIZATION = "authorization";

  /** Header with the idempotency key that the caller chose for a non-idempotent request. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Header that tells the target the name of the customer that sent the request. */
  public static final String CUSTOMER = "x-customer";

  /** Header with the id of the request; the target repeats it in its response. */
  public static final String REQUEST_ID = "x-request-id";

  /** Header with the time that remains until the caller's deadline, in milliseconds. */
  public static final String DEADLINE = "x-deadline-ms";

  /** Header of a refusal that says whether the request ran: {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "bambooarch-outcome";

  /**
   * Header of a refusal of a request with an idempotency key whose record was not read: {@code
   * unchecked}. The refusal then concerns this copy of the request only, and an earlier copy with
   * the same idempotency key may have run.
   */
  public static final String EARLIER_SENDS = "bambooarch-earlier-sends";

  private static final String RESERVED_PREFIX = "bambooarch-";
  private static final Set<String> RESERVED = Set.of(CUSTOMER, REQUEST_ID, DEADLINE);
  private static final String BEARER_PREFIX = "bearer ";

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-authentication-info",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings",
          "expect");

  private static final Set<String> CREDENTIAL_HEADERS =
      Set.of(API_KEY, AUTHORIZATION, "api-key", "apikey", "cookie", "x-api_key", "x_api_key");

  private HeaderRules() {}

  /** Returns the headers of a request that are passed on to its target, with canonical names. */
  public static List<HeaderField> requestHeadersForTarget(List<HeaderField> received) {
    Optional<String> key = findKey(received).key();
    Set<String> connectionOptions = connectionOptions(received);
    List<HeaderField> passed = new ArrayList<>();
    for (HeaderField field : received) {
      String name = canonicalName(field.name());
      if (isHopByHop(name, connectionOptions)
          || CREDENTIAL_HEADERS.contains(name)
          || isReserved(name)) {
        continue;
      }
      if (name.startsWith(":") || !isToken(name) || containsKey(field.value(), key)) {
        continue;
      }
      passed.add(new HeaderField(name, field.value()));
    }
    return passed;
  }

  /** Returns the headers of a response that are passed on to its caller, with canonical names. */
  public static List<HeaderField> responseHeadersForCaller(List<HeaderField> received) {
    Set<String> connectionOptions = connectionOptions(received);
    List<HeaderField> passed = new ArrayList<>();
    for (HeaderField field : received) {
      String name = canonicalName(field.name());
      if (isHopByHop(name, connectionOptions) || isReserved(name) || name.startsWith(":")) {
        continue;
      }
      passed.add(new HeaderField(name, field.value()));
    }
    return passed;
  }

  /**
   * Finds the API key that a request carries.
   *
   * <p>A request that carries two different keys is ambiguous: the part of the system that
   * validates the key and the part that counts requests against the customer's rate could choose
   * different ones.
   */
  public static KeyHeader findKey(List<HeaderField> received) {
    Set<String> keys = new HashSet<>();
    for (HeaderField field : received) {
      String name = canonicalName(field.name());
      if (name.equals(API_KEY)) {
        keys.add(field.value().strip());
      } else if (name.equals(AUTHORIZATION)) {
        bearerToken(field.value()).ifPresent(keys::add);
      }
    }
    keys.remove("");
    return switch (keys.size()) {
      case 0 -> new KeyHeader.Missing();
      case 1 -> new KeyHeader.Single(keys.iterator().next());
      default -> new KeyHeader.Ambiguous();
    };
  }

  /** Returns a header name in lower case and without surrounding white space. */
  public static String canonicalName(String name) {
    return name.strip().toLowerCase(Locale.ROOT);
  }

  private static boolean isHopByHop(String name, Set<String> connectionOptions) {
    return HOP_BY_HOP.contains(name) || connectionOptions.contains(name);
  }

  private static boolean isReserved(String name) {
    return RESERVED.contains(name) || name.startsWith(RESERVED_PREFIX);
  }

  private static Set<String> connectionOptions(List<HeaderField> received) {
    Set<String> connectionOptions = new HashSet<>();
    for (HeaderField field : received) {
      if (!canonicalName(field.name()).equals("connection")) {
        continue;
      }
      for (String name : field.value().split(",", -1)) {
        connectionOptions.add(canonicalName(name));
      }
    }
    return connectionOptions;
  }

  private static Optional<String> bearerToken(String value) {
    String stripped = value.strip();
    if (!stripped.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX)) {
      return Optional.empty();
    }
    return Optional.of(stripped.substring(BEARER_PREFIX.length()).strip());
  }

  private static boolean containsKey(String value, Optional<String> key) {
    return key.isPresent() && value.contains(key.get());
  }

  private static boolean isToken(String name) {
    return !name.isEmpty()
        && name.chars()
            .allMatch(c -> Character.isLetterOrDigit(c) && c < 0x80 || isTokenSymbol((char) c));
  }

  private static boolean isTokenSymbol(char c) {
    return "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
  }
}
