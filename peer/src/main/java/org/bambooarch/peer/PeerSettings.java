package org.bambooarch.peer;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the connections between instances.
 *
 * <pre>{@code
 * PeerSettings settings = PeerSettings.of("kochi-a-1", "10.0.0.1", 7401, List.of(secret));
 * }</pre>
 *
 * @param instance name of this instance
 * @param host IP number to listen on
 * @param port TCP port to listen on; 0 picks a free one
 * @param secrets shared secrets; the first one opens connections, all of them are accepted, so that
 *     a secret can be replaced while instances run
 * @param pingInterval time between two pings on a connection
 * @param livenessTimeout time without any sign of life after which a connection is retired
 * @param minReconnectDelay shortest wait before a connection is opened again
 * @param maxReconnectDelay longest wait before a connection is opened again
 * @param maxQueuedBytes bytes that may wait for one peer; what comes after is dropped
 * @param inboundBytesPerSecond bytes a second that are read from one peer
 */
public record PeerSettings(
    String instance,
    String host,
    int port,
    List<Secret> secrets,
    Duration pingInterval,
    Duration livenessTimeout,
    Duration minReconnectDelay,
    Duration maxReconnectDelay,
    int maxQueuedBytes,
    int inboundBytesPerSecond) {

  private static final int DEFAULT_MAX_QUEUED_BYTES = 256 * 1024;
  private static final int DEFAULT_INBOUND_BYTES_PER_SECOND = 2 * 1024 * 1024;

  /** Checks that a secret is given. */
  public PeerSettings {
    secrets = List.copyOf(secrets);
    if (secrets.isEmpty()) {
      throw new IllegalArgumentException(
          "expected at least one shared secret for the peers of instance " + instance);
    }
  }

  /** Returns settings with the usual limits. */
  public static PeerSettings of(String instance, String host, int port, List<Secret> secrets) {
    return new PeerSettings(
        instance,
        host,
        port,
        secrets,
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        Duration.ofMillis(100),
        Duration.ofSeconds(5),
        DEFAULT_MAX_QUEUED_BYTES,
        DEFAULT_INBOUND_BYTES_PER_SECOND);
  }

  /** Returns the same settings with other times for pings and silence. */
  public PeerSettings withLiveness(Duration newPingInterval, Duration newLivenessTimeout) {
    return new PeerSettings(
        instance,
        host,
        port,
        secrets,
        newPingInterval,
        newLivenessTimeout,
        minReconnectDelay,
        maxReconnectDelay,
        maxQueuedBytes,
        inboundBytesPerSecond);
  }
}
