package org.bambooarch.soak;

import java.util.List;
import java.util.Random;

/** The requests of one client, all of one customer to one host. */
final class ClientRequestMix {

  /** Share of the clients whose host has routes with homes only. */
  private static final double HOMED_CLIENTS_SHARE = 0.5;

  /** Share of the clients whose customer has homes. */
  private static final double HOMED_CUSTOMER_SHARE = 0.2;

  /** Share of the clients with such a host whose host has its first home in the client's region. */
  private static final double OWN_REGION_SHARE = 0.9;

  /** Share of safe requests on the route that configurations move. */
  private static final double MOVED_SHARE = 0.3;

  /** Share of safe requests on the route with a home, on the host that has other routes too. */
  private static final double LOCAL_SHARE = 0.2;

  private static final double LONG_BODY_SHARE = 0.03;
  private static final int LONG_BODY_BYTES = 150_000;
  private static final int MIN_DEADLINE_MILLIS = 700;
  private static final int MAX_DEADLINE_MILLIS = 3_000;

  /** A request to send; its attempts may have different ids. */
  record Request(
      PlayedDeployment.Customer customer,
      String host,
      String route,
      boolean homed,
      String target,
      boolean repeatable,
      byte[] body,
      int deadlineMillis) {}

  private final PlayedDeployment.Customer customer;
  private final String host;
  private final Random random;

  private ClientRequestMix(String host, Random random) {
    this.host = host;
    this.random = random;
    customer =
        random.nextDouble() < HOMED_CUSTOMER_SHARE
            ? PlayedDeployment.HOMED_CUSTOMER
            : PlayedDeployment.CUSTOMER;
  }

  /** Returns the requests of a client of a region, with a host that is drawn for it. */
  static ClientRequestMix of(String region, Random random) {
    if (random.nextDouble() >= HOMED_CLIENTS_SHARE) {
      return new ClientRequestMix(PlayedDeployment.HOST, random);
    }
    boolean own = random.nextDouble() < OWN_REGION_SHARE;
    List<String> hosts =
        PlayedDeployment.HOMED_ROUTES.stream()
            .filter(route -> !route.host().equals(PlayedDeployment.HOST))
            .filter(route -> route.region().equals(region) == own)
            .map(PlayedDeployment.HomedRoute::host)
            .distinct()
            .toList();
    return new ClientRequestMix(hosts.get(random.nextInt(hosts.size())), random);
  }

  String host() {
    return host;
  }

  Request next(boolean unsafe) {
    String route =
        host.equals(PlayedDeployment.HOST) ? routeOfMainHost(unsafe) : routeOfHomedHost(unsafe);
    boolean longBody = random.nextDouble() < LONG_BODY_SHARE;
    int length = longBody ? LONG_BODY_BYTES : unsafe ? random.nextInt(500) : 0;
    return new Request(
        customer,
        host,
        route,
        PlayedDeployment.HOMED_ROUTES.stream().anyMatch(homed -> homed.name().equals(route)),
        "/" + route + "/" + Integer.toHexString(random.nextInt(4_096)),
        !unsafe,
        Messages.randomBody(length, random),
        MIN_DEADLINE_MILLIS + random.nextInt(MAX_DEADLINE_MILLIS - MIN_DEADLINE_MILLIS));
  }

  private String routeOfMainHost(boolean unsafe) {
    List<String> services = PlayedDeployment.SERVICES;
    String service = services.get(random.nextInt(services.size()));
    if (unsafe) {
      return PlayedDeployment.UNSAFE_PREFIX + service;
    }
    double draw = random.nextDouble();
    if (draw < MOVED_SHARE) {
      return PlayedDeployment.MOVED_ROUTE;
    }
    return draw < MOVED_SHARE + LOCAL_SHARE
        ? PlayedDeployment.LOCAL_ROUTE.name()
        : PlayedDeployment.SAFE_PREFIX + service;
  }

  private String routeOfHomedHost(boolean unsafe) {
    return PlayedDeployment.HOMED_ROUTES.stream()
        .filter(route -> route.host().equals(host) && route.safe() != unsafe)
        .map(PlayedDeployment.HomedRoute::name)
        .findFirst()
        .orElseThrow();
  }
}
