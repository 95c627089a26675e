package org.bambooarch.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.time.Clock;

/**
 * The requests of one service that wait for room at this instance.
 *
 * <p>A higher rank goes first. Inside a rank, customers take turns by weight (start-time fair
 * queueing; Goyal, Vin and Cheng, 1996), so that one customer's backlog delays only itself. A
 * request whose deadline cannot be met is refused on arrival, and one that waited in vain is given
 * back by {@link #expire}; both say when to come back.
 *
 * <p>All methods may be called from any thread.
 *
 * <pre>{@code
 * Offer offer = queue.offer(request, customer, Rank.COUNTER, startByNanos);
 * queue.dispatch(waiting -> tryToSend(waiting.request()));
 * }</pre>
 */
public final class AdmissionQueue<T> {

  private static final Comparator<Waiting<?>> FAIR_ORDER =
      Comparator.<Waiting<?>>comparingDouble(Waiting::startTag)
          .thenComparingLong(Waiting::sequence);
  private static final Rank[] RANKS = Rank.values();

  private final AdmissionSettings settings;
  private final Clock clock;
  private final DrainRate drainRate;
  private final double[] weights;

  /** One heap for each rank. */
  private final List<PriorityQueue<Waiting<T>>> heaps = new ArrayList<>();

  private final int[][] waitingByCustomer;
  private final double[][] finishTags;
  private final double[] virtualTime = new double[RANKS.length];
  private long nextSequence;
  private int size;

  private AdmissionQueue(AdmissionSettings settings, double[] weights, Clock clock) {
    this.settings = settings;
    this.weights = weights;
    this.clock = clock;
    this.drainRate = new DrainRate(clock.monotonicNanos());
    this.waitingByCustomer = new int[RANKS.length][weights.length];
    this.finishTags = new double[RANKS.length][weights.length];
    for (int rank = 0; rank < RANKS.length; rank++) {
      heaps.add(new PriorityQueue<>(FAIR_ORDER));
    }
  }

  /**
   * Returns an empty queue; a customer's row is its place in the list.
   *
   * <p>Customers take turns in proportion to the square root of their declared rates: the arrivals
   * of a small customer vary more in proportion, and turns by rate refuse it most. One more row,
   * after the last customer, stands for routes open to all; it has the smallest weight.
   */
  public static <T> AdmissionQueue<T> create(
      AdmissionSettings settings, List<Customer> customers, Clock clock) {
    double[] weights = new double[customers.size() + 1];
    double smallest = Double.MAX_VALUE;
    for (int row = 0; row < customers.size(); row++) {
      weights[row] = Math.sqrt(Math.max(1e-3, customers.get(row).requestsPerSecond()));
      smallest = Math.min(smallest, weights[row]);
    }
    weights[customers.size()] = customers.isEmpty() ? 1 : smallest;
    return new AdmissionQueue<>(settings, weights, clock);
  }

  /** Returns the number of requests that wait. */
  public synchronized int size() {
    return size;
  }

  /** Returns whether requests of this rank or a higher one wait. */
  public synchronized boolean hasWaitingUpTo(Rank rank) {
    for (int ahead = 0; ahead <= rank.ordinal(); ahead++) {
      if (!heaps.get(ahead).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Counts a request that was dispatched without waiting, for the estimate of waits. */
  public synchronized void onDispatchedDirectly() {
    drainRate.add(clock.monotonicNanos());
  }

  /**
   * Queues a request, or refuses it at once if it would wait too long.
   *
   * @param request the request
   * @param customer row of the customer
   * @param rank rank now, see {@link Rank#now}
   * @param startByNanos monotonic moment by which it must be dispatched to meet its deadline
   */
  public synchronized Offer offer(T request, int customer, Rank rank, long startByNanos) {
    long now = clock.monotonicNanos();
    long expectedWait = expectedWaitNanos(customer, rank, now);
    if (startByNanos - now <= expectedWait) {
      return refused(
          NotRun.Reason.DEADLINE, "the deadline passes before room is free", expectedWait);
    }
    if (size >= settings.capacity() || expectedWait > settings.maxWaitNanos(rank)) {
      return refused(NotRun.Reason.NO_ROOM, "too many requests wait for room", expectedWait);
    }
    long giveUpNanos = Math.min(startByNanos, now + settings.maxWaitNanos(rank));
    add(request, customer, rank, now, giveUpNanos);
    return new Offer.Queued();
  }

  /**
   * Dispatches waiting requests in order until one finds no room.
   *
   * @param tryDispatch returns whether the request was taken
   * @return number of requests dispatched
   */
  public synchronized int dispatch(Predicate<Waiting<T>> tryDispatch) {
    int dispatched = 0;
    for (PriorityQueue<Waiting<T>> heap : heaps) {
      while (!heap.isEmpty()) {
        Waiting<T> head = heap.peek();
        if (!tryDispatch.test(head)) {
          return dispatched;
        }
        heap.poll();
        onLeft(head);
        virtualTime[head.rank().ordinal()] = head.startTag();
        drainRate.add(clock.monotonicNanos());
        dispatched++;
      }
    }
    return dispatched;
  }

  /** Removes and returns the requests that waited in vain; each gets its refusal at once. */
  public synchronized List<Waiting<T>> expire() {
    long now = clock.monotonicNanos();
    List<Waiting<T>> expired = new ArrayList<>();
    for (PriorityQueue<Waiting<T>> heap : heaps) {
      heap.removeIf(waiting -> isExpired(waiting, now, expired));
    }
    expired.forEach(this::onLeft);
    return expired;
  }

  /** Removes a request whose caller has gone; returns whether it was still waiting. */
  public synchronized boolean cancel(T request) {
    for (PriorityQueue<Waiting<T>> heap : heaps) {
      for (Waiting<T> waiting : heap) {
        if (waiting.request().equals(request)) {
          heap.remove(waiting);
          onLeft(waiting);
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the refusal of a request that waited in vain. */
  public synchronized NotRun refusalOf(Waiting<T> expired) {
    long wait = expectedWaitNanos(expired.customer(), expired.rank(), clock.monotonicNanos());
    return notRun(NotRun.Reason.NO_ROOM, "no room became free in time", wait);
  }

  private void add(T request, int customer, Rank rank, long now, long giveUpNanos) {
    int row = rank.ordinal();
    double startTag = settings.isFair() ? nextStartTag(row, customer) : 0;
    heaps
        .get(row)
        .add(new Waiting<>(request, customer, rank, now, giveUpNanos, startTag, nextSequence++));
    waitingByCustomer[row][customer]++;
    size++;
  }

  private double nextStartTag(int rank, int customer) {
    double startTag = Math.max(virtualTime[rank], finishTags[rank][customer]);
    finishTags[rank][customer] = startTag + 1 / weights[customer];
    return startTag;
  }

  private void onLeft(Waiting<T> left) {
    waitingByCustomer[left.rank().ordinal()][left.customer()]--;
    size--;
  }

  private boolean isExpired(Waiting<T> waiting, long now, List<Waiting<T>> expired) {
    if (now - waiting.giveUpNanos() < 0) {
      return false;
    }
    expired.add(waiting);
    return true;
  }

  /** Work ahead of the request: all of higher ranks, and its customer's fair part of its own. */
  private long expectedWaitNanos(int customer, Rank rank, long now) {
    double ahead = 0;
    for (int higher = 0; higher < rank.ordinal(); higher++) {
      ahead += heaps.get(higher).size();
    }
    ahead += settings.isFair() ? fairTurnsAhead(customer, rank) : heaps.get(rank.ordinal()).size();
    return drainRate.nanosFor(ahead, now);
  }

  private double fairTurnsAhead(int customer, Rank rank) {
    int[] waiting = waitingByCustomer[rank.ordinal()];
    double ahead = waiting[customer];
    for (int other = 0; other < waiting.length; other++) {
      if (other != customer) {
        double turns = 1 + waiting[customer] * weights[other] / weights[customer];
        ahead += Math.min(waiting[other], turns);
      }
    }
    return ahead;
  }

  private static Offer refused(NotRun.Reason reason, String detail, long expectedWaitNanos) {
    return new Offer.Refused(notRun(reason, detail, expectedWaitNanos));
  }

  private static NotRun notRun(NotRun.Reason reason, String detail, long expectedWaitNanos) {
    return NotRun.of(reason, detail)
        .withRetryAfterMillis(RetryAfter.fromExpectedWait(expectedWaitNanos));
  }
}
