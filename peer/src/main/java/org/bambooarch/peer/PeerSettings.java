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
 * @param host IP address to listen on, in text form
 * @param port TCP port to listen on; 0 picks a free one
 * @param secrets shared secrets, at least one; this instance authenticates with the first one when
 *     it opens a connection and accepts all of them from peers, so that a secret can be replaced
 *     while instances run
 * @param pingInterval time between two pings on a connection that this instance opened
 * @param livenessTimeout time without an answered ping after which the opening side closes a
 *     connection and opens another; the accepting side closes it after twice this time without
 *     data; also the limit for connecting and for the handshake
 * @param minReconnectDelay shortest delay before a connection is opened again
 * @param maxReconnectDelay longest delay before a connection is opened again
 * @param maxQueuedBytes bytes that may be queued for one peer; a message beyond them is dropped
 * @param inboundBytesPerSecond bytes per second that are read from one incoming connection
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

  /**
   * Copies the secrets.
   *
   * @throws IllegalArgumentException if there is no secret
   */
  public PeerSettings {
    secrets = List.copyOf(secrets);
    if (secrets.isEmpty()) {
      throw new IllegalArgumentException(
          "expected at least one shared secret for the peers of instance "
              + instance
              + ", got none");
    }
  }

  /**
   * Returns settings with the default limits: a ping every second, a liveness timeout of 3 s,
   * reconnect delays from 100 ms to 5 s, 256 KiB queued for each peer and 2 MiB/s from each.
   */
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

  /** Returns a copy with another ping interval and liveness timeout. */
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
