package org.bambooarch.bench.experiment;

import java.util.Arrays;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.routing.ChosenServer;
import org.bambooarch.core.routing.TargetChooser;

/** The state of one simulated request. */
final class Request {

  final int customer;
  final int service;
  final int route;
  final int clientRegion;
  final long arrivedNanos;
  int[] excludedServers = TargetChooser.NONE_EXCLUDED;
  int attempts;
  int failures;
  long sentNanos;
  int server;
  ChosenServer chosen;

  Request(int customer, int service, int route, int clientRegion, long arrivedNanos) {
    this.customer = customer;
    this.service = service;
    this.route = route;
    this.clientRegion = clientRegion;
    this.arrivedNanos = arrivedNanos;
  }

  /** Returns the index of the route among the routes of all services. */
  int routeIndex() {
    return service * RequestMix.routes().size() + route;
  }

  PriorityClass priorityClass() {
    return Deployment.priorityClassOf(route);
  }

  boolean isIdempotent() {
    return Deployment.routeAt(route).idempotent();
  }

  long answerBytes() {
    return Deployment.routeAt(route).expectedAnswerBytes();
  }

  void exclude(int serverIndex) {
    excludedServers = Arrays.copyOf(excludedServers, excludedServers.length + 1);
    excludedServers[excludedServers.length - 1] = serverIndex;
  }
}
