package org.bambooarch.bench.experiment;

import java.util.List;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.routing.TargetReport;

/** The decisions of one instance: ours or a baseline. */
sealed interface RoutingStrategy permits LibraryRoutingStrategy, BaselineRoutingStrategy {

  /** What becomes of a request that asks for a server. */
  enum Decision {
    /** {@link Request#server} was set and one of its slots is taken. */
    SEND,
    /** The request waits and comes back through {@link #takeReady()}. */
    WAIT,
    /** The request is refused now. */
    REFUSE
  }

  /** How one attempt ended. */
  enum AttemptOutcome {
    ANSWERED,
    FAILED,
    SHED
  }

  Decision selectServer(Request request);

  void onAttemptEnded(Request request, AttemptOutcome outcome, long latencyNanos);

  void onReport(TargetReport report);

  void reconfigure(Inventory inventory);

  /** Runs the systems of the control thread. */
  void tick();

  /** Tries to dispatch waiting requests. */
  void dispatchWaiting();

  /** Returns requests whose wait has ended with a server. */
  List<Request> takeReady();

  /** Returns requests that waited in vain. */
  List<Request> takeExpired();

  /** Returns the budget that paces an answer, or null if nothing paces it. */
  LinkBudget answerLinkBudget(Request request);
}
