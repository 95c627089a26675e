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
 * The requests of one service that wait at this instance until a target can take them.
 *
 * <p>Higher priorities go first. Within a priority, customers take turns by weight (start-time fair
 * queueing; Goyal, Vin and Cheng, 1996), so that one customer's backlog delays only that customer.
 * A request whose deadline cannot be met is refused on arrival, and one that has waited too long is
 * returned by {@link #removeExpired}; both refusals say when to try again.
 *
 * <p>All methods may be called from any thread.
 *
 * <pre>{@code
 * AdmissionDecision decision =
 *     queue.offer(request, customer, DispatchPriority.COUNTER, startByNanos);
 * queue.dispatch(waiting -> tryToSend(waiting.request()));
 * }</pre>
 */
public final class AdmissionQueue<T> {

  private static final Comparator<QueuedRequest<?>> FAIR_ORDER =
      Comparator.<QueuedRequest<?>>comparingDouble(QueuedRequest::startTag)
          .thenComparingLong(QueuedRequest::sequence);
  private static final DispatchPriority[] PRIORITIES = DispatchPriority.values();

  private final AdmissionSettings settings;
  private final Clock clock;
  private final DispatchRate dispatchRate;
  private final double[] weights;

  /** Indexed by the ordinal of the priority, as are the arrays below. */
  private final List<PriorityQueue<QueuedRequest<T>>> heapsByPriority = new ArrayList<>();

  private final int[][] waitingByCustomer;
  private final double[][] finishTagsByCustomer;
  private final double[] virtualTime = new double[PRIORITIES.length];
  private long nextSequence;
  private int size;

  private AdmissionQueue(AdmissionSettings settings, double[] weights, Clock clock) {
    this.settings = settings;
    this.weights = weights;
    this.clock = clock;
    this.dispatchRate = new DispatchRate(clock.monotonicNanos());
    this.waitingByCustomer = new int[PRIORITIES.length][weights.length];
    this.finishTagsByCustomer = new double[PRIORITIES.length][weights.length];
    for (int priority = 0; priority < PRIORITIES.length; priority++) {
      heapsByPriority.add(new PriorityQueue<>(FAIR_ORDER));
    }
  }

  /**
   * Returns an empty queue; the index of a customer is its position in the list.
   *
   * <p>Customers take turns in proportion to the square root of their declared rates. The arrivals
   * of a small customer vary more in proportion to its rate, so turns in proportion to the rates
   * would refuse its requests most often. The index after the last customer stands for routes that
   * are open to all; it has the smallest weight.
   */
  public static <T> AdmissionQueue<T> create(
      AdmissionSettings settings, List<Customer> customers, Clock clock) {
    double[] weights = new double[customers.size() + 1];
    double smallest = Double.MAX_VALUE;
    for (int customer = 0; customer < customers.size(); customer++) {
      weights[customer] = Math.sqrt(Math.max(1e-3, customers.get(customer).requestsPerSecond()));
      smallest = Math.min(smallest, weights[customer]);
    }
    weights[customers.size()] = customers.isEmpty() ? 1 : smallest;
    return new AdmissionQueue<>(settings, weights, clock);
  }

  /** Returns the number of requests that wait, of all priorities together. */
  public synchronized int size() {
    return size;
  }

  /** Returns whether requests of the given priority or a higher one wait. */
  public synchronized boolean hasWaitingAtOrAbove(DispatchPriority priority) {
    for (int ahead = 0; ahead <= priority.ordinal(); ahead++) {
      if (!heapsByPriority.get(ahead).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Counts a request that was dispatched without being queued, for the estimate of waits. */
  public synchronized void onDispatchedDirectly() {
    dispatchRate.add(clock.monotonicNanos());
  }

  /**
   * Queues a request, or refuses it at once if it would miss its deadline, if the queue is full or
   * if it would wait longer than its priority allows.
   *
   * @param request the request, which {@link #cancel} finds by {@code equals}
   * @param customer index of the customer
   * @param priority priority at this time, see {@link DispatchPriority#at}
   * @param startByNanos monotonic time by which the request must be dispatched to meet its deadline
   */
  public synchronized AdmissionDecision offer(
      T request, int customer, DispatchPriority priority, long startByNanos) {
    long now = clock.monotonicNanos();
    long expectedWait = expectedWaitNanos(customer, priority, now);
    if (startByNanos - now <= expectedWait) {
      return refused(
          NotRun.Reason.DEADLINE, "the deadline passes before room is free", expectedWait);
    }
    if (size >= settings.capacity() || expectedWait > settings.maxWaitNanos(priority)) {
      return refused(NotRun.Reason.NO_ROOM, "too many requests wait for room", expectedWait);
    }
    long expiresAtNanos = Math.min(startByNanos, now + settings.maxWaitNanos(priority));
    add(request, customer, priority, now, expiresAtNanos);
    return new AdmissionDecision.Queued();
  }

  /**
   * Dispatches waiting requests in order until one is not taken.
   *
   * @param tryDispatch tries to dispatch a request and returns whether it was taken; called while
   *     the queue is locked
   * @return number of requests dispatched
   */
  public synchronized int dispatch(Predicate<QueuedRequest<T>> tryDispatch) {
    int dispatched = 0;
    for (PriorityQueue<QueuedRequest<T>> heap : heapsByPriority) {
      while (!heap.isEmpty()) {
        QueuedRequest<T> head = heap.peek();
        if (!tryDispatch.test(head)) {
          return dispatched;
        }
        heap.poll();
        onRemoved(head);
        virtualTime[head.priority().ordinal()] = head.startTag();
        dispatchRate.add(clock.monotonicNanos());
        dispatched++;
      }
    }
    return dispatched;
  }

  /**
   * Removes and returns the requests that have waited too long. The caller answers each of them
   * with {@link #refusalOf}.
   */
  public synchronized List<QueuedRequest<T>> removeExpired() {
    long now = clock.monotonicNanos();
    List<QueuedRequest<T>> expired = new ArrayList<>();
    for (PriorityQueue<QueuedRequest<T>> heap : heapsByPriority) {
      heap.removeIf(waiting -> isExpired(waiting, now, expired));
    }
    expired.forEach(this::onRemoved);
    return expired;
  }

  /** Removes a request whose caller has disconnected, and returns whether it was still waiting. */
  public synchronized boolean cancel(T request) {
    for (PriorityQueue<QueuedRequest<T>> heap : heapsByPriority) {
      for (QueuedRequest<T> waiting : heap) {
        if (waiting.request().equals(request)) {
          heap.remove(waiting);
          onRemoved(waiting);
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the refusal for a request that {@link #removeExpired} returned. */
  public synchronized NotRun refusalOf(QueuedRequest<T> expired) {
    long wait = expectedWaitNanos(expired.customer(), expired.priority(), clock.monotonicNanos());
    return notRun(NotRun.Reason.NO_ROOM, "no room became free in time", wait);
  }

  private void add(
      T request, int customer, DispatchPriority priority, long now, long expiresAtNanos) {
    int priorityIndex = priority.ordinal();
    double startTag = settings.isFair() ? nextStartTag(priorityIndex, customer) : 0;
    heapsByPriority
        .get(priorityIndex)
        .add(
            new QueuedRequest<>(
                request, customer, priority, now, expiresAtNanos, startTag, nextSequence++));
    waitingByCustomer[priorityIndex][customer]++;
    size++;
  }

  private double nextStartTag(int priority, int customer) {
    double startTag = Math.max(virtualTime[priority], finishTagsByCustomer[priority][customer]);
    finishTagsByCustomer[priority][customer] = startTag + 1 / weights[customer];
    return startTag;
  }

  private void onRemoved(QueuedRequest<T> removed) {
    waitingByCustomer[removed.priority().ordinal()][removed.customer()]--;
    size--;
  }

  /** Adds the request to {@code expired} if it has expired, and returns whether it has. */
  private boolean isExpired(QueuedRequest<T> waiting, long now, List<QueuedRequest<T>> expired) {
    if (now - waiting.expiresAtNanos() < 0) {
      return false;
    }
    expired.add(waiting);
    return true;
  }

  /**
   * Returns the expected wait of a new request. Ahead of it are all requests of higher priorities
   * and, of its own priority, its customer's requests and those that other customers' turns bring
   * first.
   */
  private long expectedWaitNanos(int customer, DispatchPriority priority, long now) {
    double ahead = 0;
    for (int higher = 0; higher < priority.ordinal(); higher++) {
      ahead += heapsByPriority.get(higher).size();
    }
    ahead +=
        settings.isFair()
            ? fairRequestsAhead(customer, priority)
            : heapsByPriority.get(priority.ordinal()).size();
    return dispatchRate.nanosFor(ahead, now);
  }

  private double fairRequestsAhead(int customer, DispatchPriority priority) {
    int[] waiting = waitingByCustomer[priority.ordinal()];
    double ahead = waiting[customer];
    for (int other = 0; other < waiting.length; other++) {
      if (other != customer) {
        double turns = 1 + waiting[customer] * weights[other] / weights[customer];
        ahead += Math.min(waiting[other], turns);
      }
    }
    return ahead;
  }

  private static AdmissionDecision refused(
      NotRun.Reason reason, String detail, long expectedWaitNanos) {
    return new AdmissionDecision.Refused(notRun(reason, detail, expectedWaitNanos));
  }

  private static NotRun notRun(NotRun.Reason reason, String detail, long expectedWaitNanos) {
    return NotRun.of(reason, detail)
        .withRetryAfterMillis(RetryAfter.fromExpectedWait(expectedWaitNanos));
  }
}
