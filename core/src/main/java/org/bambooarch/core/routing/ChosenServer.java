package org.bambooarch.core.routing;

import java.util.Optional;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.routing.internal.PoolCounters;
import org.bambooarch.core.routing.internal.ServerCounters;

/**
 * A server with one of its slots taken for a request.
 *
 * <p>There is one object for each server and route, so that a choice allocates nothing. It stays
 * valid when the table is replaced while the request runs.
 */
public final class ChosenServer implements Choice {

  private final int serverIndex;
  private final Server server;
  private final ServerCounters counters;
  private final PoolCounters poolCounters;
  private final LinkBudget answerLink;
  private final long expectedAnswerBytes;

  ChosenServer(
      int serverIndex,
      Server server,
      ServerCounters counters,
      PoolCounters poolCounters,
      LinkBudget answerLink,
      long expectedAnswerBytes) {
    this.serverIndex = serverIndex;
    this.server = server;
    this.counters = counters;
    this.poolCounters = poolCounters;
    this.answerLink = answerLink;
    this.expectedAnswerBytes = expectedAnswerBytes;
  }

  /** Returns the row of the server in the table that made the choice. */
  public int serverIndex() {
    return serverIndex;
  }

  /** Returns the chosen server. */
  public Server server() {
    return server;
  }

  /** Returns whether the server is in another region than this instance. */
  public boolean crossesLink() {
    return poolCounters.isRemote();
  }

  /** Returns the budget that the answer's bytes are charged to, empty inside the region. */
  public Optional<LinkBudget> answerLink() {
    return Optional.ofNullable(answerLink);
  }

  ServerCounters counters() {
    return counters;
  }

  PoolCounters poolCounters() {
    return poolCounters;
  }

  boolean tryReserveLink() {
    return answerLink == null || answerLink.tryReserve(expectedAnswerBytes);
  }

  void releaseLink() {
    if (answerLink != null) {
      answerLink.release(expectedAnswerBytes);
    }
  }
}
