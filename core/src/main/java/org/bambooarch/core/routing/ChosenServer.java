package org.bambooarch.core.routing;

import java.util.Optional;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.routing.internal.PoolCounters;
import org.bambooarch.core.routing.internal.ServerCounters;

/**
 * A server with one of its slots taken for a request.
 *
 * <p>There is one shared instance for each pair of server and route, so that choosing a server
 * allocates nothing. It stays valid when the table is replaced while the request runs.
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

  /** Returns the index of the server in {@link TargetTable#servers()} of the choosing table. */
  public int serverIndex() {
    return serverIndex;
  }

  /** Returns the server as it was declared in the table that made the choice. */
  public Server server() {
    return server;
  }

  /** Returns whether requests to the server cross a link, because it is in another region. */
  public boolean crossesLink() {
    return poolCounters.isRemote();
  }

  /**
   * Returns the budget that the bytes of the response are charged to, or empty if the server is in
   * this instance's region.
   */
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
