package org.bambooarch.soak;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An instance's answer to a look-up.
 *
 * @param addresses front addresses, at least one
 * @param ttlMillis time for which clients keep the answer
 */
record LookupResponse(List<String> addresses, long ttlMillis) {

  /** The bound {@code ttl_max} in the instances' settings. */
  static final long MAX_TTL_MILLIS = 5_000;

  private static final Pattern ADDRESSES = Pattern.compile("\"addrs\"\\s*:\\s*\\[([^]]*)]");
  private static final Pattern ADDRESS = Pattern.compile("\"([^\"]+)\"");
  private static final Pattern TTL = Pattern.compile("\"ttl\"\\s*:\\s*\"(\\d+)(ms|s)\"");

  /** Reads the body of an answer; one without addresses or without a time is no answer. */
  static LookupResponse parse(String body) throws IOException {
    Matcher addresses = ADDRESSES.matcher(body);
    Matcher ttl = TTL.matcher(body);
    if (!addresses.find() || !ttl.find()) {
      throw new ProtocolException("expected addresses and a time to live, found: " + body);
    }
    List<String> names =
        ADDRESS.matcher(addresses.group(1)).results().map(each -> each.group(1)).toList();
    if (names.isEmpty()) {
      throw new ProtocolException("expected addresses, found: " + body);
    }
    long value = Long.parseLong(ttl.group(1));
    long millis = ttl.group(2).equals("s") ? TimeUnit.SECONDS.toMillis(value) : value;
    return new LookupResponse(names, Math.min(millis, MAX_TTL_MILLIS));
  }
}
