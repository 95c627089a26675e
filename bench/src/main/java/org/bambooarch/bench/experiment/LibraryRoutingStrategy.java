package org.bambooarch.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bambooarch.core.admission.AdmissionDecision;
import org.bambooarch.core.admission.AdmissionQueue;
import org.bambooarch.core.admission.AdmissionSettings;
import org.bambooarch.core.admission.DispatchPriority;
import org.bambooarch.core.admission.QueuedRequest;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.Choice;
import org.bambooarch.core.routing.ChosenServer;
import org.bambooarch.core.routing.TargetChooser;
import org.bambooarch.core.routing.TargetReport;
import org.bambooarch.core.routing.TargetTable;
import org.bambooarch.core.time.Clock;

/** Routes by the decision library, set up as in an entry instance: one queue for each service. */
final class LibraryRoutingStrategy implements RoutingStrategy {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MILLIS_PER_MINUTE = 60_000L;

  private final String dataCentre;
  private final int instances;
  private final Clock clock;
  private final Random random;
  private final int bulkDueMinutes;
  private final List<AdmissionQueue<Request>> queues = new ArrayList<>();
  private final List<Request> ready = new ArrayList<>();
  private final List<Request> expired = new ArrayList<>();
  private LinkBudgets links;
  private TargetChooser chooser;

  LibraryRoutingStrategy(
      Deployment deployment,
      Inventory inventory,
      String dataCentre,
      int bulkDueMinutes,
      Clock clock,
      Random random) {
    this.dataCentre = dataCentre;
    this.instances = deployment.instances();
    this.clock = clock;
    this.random = random;
    this.bulkDueMinutes = bulkDueMinutes;
    this.links = LinkBudgets.equalShares(inventory, instances, clock);
    this.chooser = TargetChooser.create(TargetTable.from(inventory, dataCentre), links, clock);
    for (int service = 0; service < inventory.services().size(); service++) {
      queues.add(AdmissionQueue.create(AdmissionSettings.defaults(), inventory.customers(), clock));
    }
  }

  LinkBudgets links() {
    return links;
  }

  @Override
  public Decision selectServer(Request request) {
    AdmissionQueue<Request> queue = queues.get(request.service);
    DispatchPriority priority = priorityOf(request);
    long timeoutNanos = Deployment.routeAt(request.route).timeoutMillis() * NANOS_PER_MILLI;
    long startByNanos = request.arrivedNanos + timeoutNanos / 2;
    if (clock.monotonicNanos() - startByNanos >= 0) {
      return Decision.REFUSE;
    }
    if (!queue.hasWaitingAtOrAbove(priority) && tryChoose(request)) {
      queue.onDispatchedDirectly();
      return Decision.SEND;
    }
    AdmissionDecision decision = queue.offer(request, request.customer, priority, startByNanos);
    return decision instanceof AdmissionDecision.Queued ? Decision.WAIT : Decision.REFUSE;
  }

  @Override
  public void onAttemptEnded(Request request, AttemptOutcome outcome, long latencyNanos) {
    if (outcome == AttemptOutcome.ANSWERED) {
      chooser.onAnswered(request.chosen, latencyNanos);
    } else if (outcome == AttemptOutcome.FAILED) {
      chooser.onFailed(request.chosen);
    } else {
      chooser.onShed(request.chosen);
    }
    dispatch(queues.get(request.service));
  }

  @Override
  public void onReport(TargetReport report) {
    chooser.onReport(report);
  }

  @Override
  public void reconfigure(Inventory inventory) {
    links = links.reconfigured(inventory, instances);
    chooser = chooser.reconfigured(TargetTable.from(inventory, dataCentre), links);
  }

  @Override
  public void tick() {
    chooser.tick();
    for (AdmissionQueue<Request> queue : queues) {
      for (QueuedRequest<Request> waiting : queue.removeExpired()) {
        expired.add(waiting.request());
      }
    }
  }

  @Override
  public void dispatchWaiting() {
    for (AdmissionQueue<Request> queue : queues) {
      if (queue.size() > 0) {
        dispatch(queue);
      }
    }
  }

  @Override
  public List<Request> takeReady() {
    List<Request> taken = List.copyOf(ready);
    ready.clear();
    return taken;
  }

  @Override
  public List<Request> takeExpired() {
    List<Request> taken = List.copyOf(expired);
    expired.clear();
    return taken;
  }

  @Override
  public LinkBudget answerLinkBudget(Request request) {
    return request.chosen.answerLink().orElse(null);
  }

  private void dispatch(AdmissionQueue<Request> queue) {
    queue.dispatch(
        waiting -> {
          if (!tryChoose(waiting.request())) {
            return false;
          }
          ready.add(waiting.request());
          return true;
        });
  }

  private boolean tryChoose(Request request) {
    Choice choice =
        chooser.choose(
            request.routeIndex(),
            priorityOf(request).capacityClass(),
            request.excludedServers,
            random);
    if (choice instanceof ChosenServer chosen) {
      request.chosen = chosen;
      request.server = chosen.serverIndex();
      return true;
    }
    return false;
  }

  private DispatchPriority priorityOf(Request request) {
    long now = clock.wallMillis();
    boolean isDue = bulkDueMinutes != Scenario.NOT_DUE;
    long finishBy = isDue ? now + bulkDueMinutes * MILLIS_PER_MINUTE : DispatchPriority.NO_DEADLINE;
    return DispatchPriority.at(request.priorityClass(), finishBy, now);
  }
}
