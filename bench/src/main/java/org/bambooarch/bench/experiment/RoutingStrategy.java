package org.bambooarch.bench.experiment;

import java.util.List;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.routing.TargetReport;

/** The routing decisions of one instance, by the decision library or by a baseline. */
sealed interface RoutingStrategy permits LibraryRoutingStrategy, BaselineRoutingStrategy {

  /** What happens to a request after {@link #selectServer}. */
  enum Decision {
    /** {@link Request#server} is set, and one of its slots counts as taken by this request. */
    SEND,
    /**
     * The request waits in a queue; {@link #takeReady()} or {@link #takeExpired()} returns it
     * later.
     */
    WAIT,
    /** The request is refused at once. */
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

  /** Does the periodic work that an instance does on its control thread. */
  void tick();

  /** Dispatches waiting requests as far as servers have capacity. */
  void dispatchWaiting();

  /** Removes and returns the requests that waited and now have a server. */
  List<Request> takeReady();

  /** Removes and returns the requests that have waited too long and got no server. */
  List<Request> takeExpired();

  /** Returns the link budget that paces the answer of a request, or null if it is not paced. */
  LinkBudget answerLinkBudget(Request request);
}
