package org.bambooarch.core.steering;

import java.util.HashSet;
import java.util.Set;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.fleet.ServiceRetryBudgets;

/**
 * Decides after each attempt to have a server run a request whether another server gets it, and
 * with what result the request ends otherwise.
 *
 * <p>A request that is not idempotent is sent to another server only while it certainly has not run
 * on any. Each send after the first is taken from the service's retry budget, whose ratio holds for
 * the whole fleet; an attempt that sent nothing is free.
 *
 * <p>Not thread-safe.
 */
public final class RetryDecider {

  /** Number of attempts without a connection after which the request is refused. */
  static final int MAX_UNREACHABLE = 4;

  /** Number of rejections by servers after which the request is refused. */
  static final int MAX_REJECTIONS = 3;

  /** How an attempt to have a server run the request ended. */
  public enum AttemptResult {
    /** No byte of the request reached a server. */
    NOT_SENT,
    /** The server reported that it did not run the request. */
    NOT_RUN,
    /** The server ran the request and responded with an error of its own. */
    FAILED,
    /** The request was sent, but no complete response arrived. */
    LOST
  }

  /** What the instance does with the request after an attempt. */
  public enum Step {
    /** Send the request to another server. */
    SEND_ELSEWHERE,
    /** Refuse the request: it has not run on any server and will not run. */
    REFUSE_NOT_RUN,
    /** Pass the server's error response on to the caller. */
    PASS_FAILURE_ON,
    /** Tell the caller that the outcome is unknown. */
    OUTCOME_UNKNOWN
  }

  private final ServiceRoute route;
  private final String service;
  private final ServiceRetryBudgets retryBudgets;
  private final Set<String> tried = new HashSet<>();
  private int runs;
  private int rejections;
  private int unreachable;
  private boolean firstSendCounted;
  private boolean inProgress;

  /**
   * Creates the decider for one request.
   *
   * @param route route of the request
   * @param service service of the route that the request goes to
   * @param retryBudgets this instance's budgets, of which the request uses the one of its service
   */
  public RetryDecider(ServiceRoute route, String service, ServiceRetryBudgets retryBudgets) {
    this.route = route;
    this.service = service;
    this.retryBudgets = retryBudgets;
  }

  /** Returns the names of the servers that must not get the request again. */
  public Set<String> triedServers() {
    return tried;
  }

  /** Returns how often the request was sent, without an attempt that is still in progress. */
  public int sends() {
    return runs + rejections;
  }

  /** Returns whether a server may have run the request or may still be running it. */
  public boolean mayHaveRun() {
    return runs > 0 || inProgress;
  }

  /** Returns whether a server may have run the request in an attempt that has ended. */
  public boolean mayHaveRunBefore() {
    return runs > 0;
  }

  /** Records the server that was chosen for an attempt; call before anything is sent to it. */
  public void onChosen(String server) {
    tried.add(server);
  }

  /** Records that the request is about to be written to a server. */
  public void onSending() {
    inProgress = true;
  }

  /**
   * Decides what follows an attempt that did not succeed.
   *
   * @param result how the attempt ended
   * @param timeForAnother whether another server could respond before the deadline
   * @param requestKept whether the whole request, with its body, can be sent again
   */
  public Step onAttemptEnded(AttemptResult result, boolean timeForAnother, boolean requestKept) {
    inProgress = false;
    countFirstSend(result);
    return switch (result) {
      case NOT_SENT -> afterNotSent(timeForAnother && requestKept);
      case NOT_RUN -> afterNotRun(timeForAnother && requestKept);
      case FAILED -> afterRun(timeForAnother && requestKept, Step.PASS_FAILURE_ON);
      case LOST -> afterRun(timeForAnother && requestKept, Step.OUTCOME_UNKNOWN);
    };
  }

  /** Records a response, complete or broken off, that needs no further decision. */
  public void onAnswered() {
    inProgress = false;
    countFirstSend(AttemptResult.FAILED);
    runs++;
  }

  private void countFirstSend(AttemptResult result) {
    if (result != AttemptResult.NOT_SENT && !firstSendCounted) {
      firstSendCounted = true;
      retryBudgets.onFirstSend(service);
    }
  }

  private Step afterNotSent(boolean mayRepeat) {
    unreachable++;
    if (mayRepeat && unreachable < MAX_UNREACHABLE) {
      return Step.SEND_ELSEWHERE;
    }
    return stepIfNoServerLeft();
  }

  private Step afterNotRun(boolean mayRepeat) {
    rejections++;
    if (mayRepeat && rejections < MAX_REJECTIONS && retryBudgets.tryTake(service)) {
      return Step.SEND_ELSEWHERE;
    }
    return stepIfNoServerLeft();
  }

  private Step afterRun(boolean mayRepeat, Step otherwise) {
    runs++;
    if (mayRepeat
        && route.idempotent()
        && runs < route.maxServers()
        && retryBudgets.tryTake(service)) {
      return Step.SEND_ELSEWHERE;
    }
    return otherwise;
  }

  /** Returns the step for a request for which no other server is left. */
  public Step stepIfNoServerLeft() {
    return mayHaveRun() ? Step.OUTCOME_UNKNOWN : Step.REFUSE_NOT_RUN;
  }
}
