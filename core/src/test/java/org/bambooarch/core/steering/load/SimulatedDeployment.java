package org.bambooarch.core.steering.load;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Places, services and callers of a simulated deployment.
 *
 * @param dataCentres data centres, each with its region and its number of instances
 * @param services services with their servers
 * @param requestKinds kinds of requests; each data centre's callers send all of them
 * @param withinDataCentreMillis one-way delay inside a data centre, in milliseconds
 * @param betweenDataCentresMillis one-way delay inside a region, in milliseconds
 * @param betweenRegionsMillis one-way delay between regions, in milliseconds
 * @param callerMillis one-way delay between callers and instances, in milliseconds
 * @param boundFraction fraction of the requests, in all regions, that only one region may serve
 * @param boundRegion that region
 */
record SimulatedDeployment(
    List<DataCentre> dataCentres,
    List<Service> services,
    List<RequestKind> requestKinds,
    double withinDataCentreMillis,
    double betweenDataCentresMillis,
    double betweenRegionsMillis,
    double callerMillis,
    double boundFraction,
    String boundRegion) {

  /**
   * One data centre.
   *
   * @param requestsPerSecond average rate of its callers, over all kinds of requests
   */
  record DataCentre(String name, String region, int instances, double requestsPerSecond) {}

  /**
   * One service.
   *
   * @param serversByDataCentre number of servers in each data centre
   * @param slots requests that a server runs at once
   * @param queueCapacity requests that may wait at a server; it rejects others
   * @param warmObjects objects that a server keeps warm
   */
  record Service(
      String name,
      Map<String, Integer> serversByDataCentre,
      int slots,
      int queueCapacity,
      int warmObjects) {

    /** Sorts the data centres, so that a seed gives the same servers in each run. */
    Service {
      serversByDataCentre = Collections.unmodifiableMap(new TreeMap<>(serversByDataCentre));
    }
  }

  /**
   * One kind of request.
   *
   * @param share fraction of all requests that are of this kind
   * @param objectsPerRegion objects that the callers of each region ask for; no two regions share
   *     any
   * @param coldMillis average processing time at a server that is not warm for the object, in
   *     milliseconds; a warm one needs 30% of it
   * @param targetMillis time within which a response has its full value, in milliseconds
   * @param timeoutMillis time for which a caller waits, in milliseconds
   * @param value value of a response in time; a late one has a fifth of it
   * @param connectMillis time for which a caller opens a connection before it sends a request, in
   *     milliseconds
   */
  record RequestKind(
      String name,
      String service,
      double share,
      int objectsPerRegion,
      double coldMillis,
      long targetMillis,
      long timeoutMillis,
      double value,
      int priority,
      double connectMillis) {}

  /** Returns the region of each data centre. */
  Map<String, String> regionByDataCentre() {
    Map<String, String> regions = new TreeMap<>();
    dataCentres.forEach(dataCentre -> regions.put(dataCentre.name(), dataCentre.region()));
    return regions;
  }

  double oneWayMillis(String from, String to) {
    if (from.equals(to)) {
      return withinDataCentreMillis;
    }
    Map<String, String> regions = regionByDataCentre();
    return regions.get(from).equals(regions.get(to))
        ? betweenDataCentresMillis
        : betweenRegionsMillis;
  }

  /**
   * Returns a deployment in three regions whose callers ask equally, while the third region has a
   * tenth of the servers. A server that is not warm for an object does not respond in time.
   *
   * @param requestsPerSecond average rate of each data centre
   * @param boundFraction fraction of the requests that only the third region may serve
   */
  static SimulatedDeployment unevenRegions(double requestsPerSecond, double boundFraction) {
    return new SimulatedDeployment(
        dataCentres(requestsPerSecond),
        List.of(
            new Service("read", servers(4, 5, 1), 4, 12, 70),
            new Service("write", servers(2, 3, 1), 3, 9, 40),
            new Service("move", servers(2, 3, 1), 3, 9, 60)),
        List.of(
            new RequestKind("look-up", "read", 0.56, 105, 240, 200, 1_200, 1, 2, 0),
            new RequestKind("order", "write", 0.2, 35, 310, 200, 1_500, 2, 1, 16),
            new RequestKind("urgent", "move", 0.17, 30, 170, 120, 800, 3, 0, 16),
            new RequestKind("note", "move", 0.07, 25, 190, 150, 1_000, 1, 2, 16)),
        0.1,
        1.4,
        12,
        8,
        boundFraction,
        "west");
  }

  /**
   * Returns a deployment like {@link #unevenRegions} in which requests of very different processing
   * times share a service.
   */
  static SimulatedDeployment mixedProcessingTimes(double requestsPerSecond, double boundFraction) {
    return new SimulatedDeployment(
        dataCentres(requestsPerSecond),
        List.of(
            new Service("read", servers(2, 3, 1), 5, 15, 90),
            new Service("write", servers(2, 3, 1), 3, 9, 30),
            new Service("move", servers(2, 3, 1), 5, 15, 55)),
        List.of(
            new RequestKind("look-up", "read", 0.54, 85, 240, 200, 1_200, 1, 2, 0),
            new RequestKind("order", "write", 0.19, 30, 310, 250, 1_500, 2, 1, 16),
            new RequestKind("urgent", "move", 0.17, 30, 170, 150, 800, 3, 0, 16),
            new RequestKind("report", "move", 0.1, 25, 960, 600, 1_500, 1, 2, 0)),
        0.1,
        0.9,
        20,
        8,
        boundFraction,
        "west");
  }

  /**
   * Returns a deployment like {@link #unevenRegions} in which requests take long and servers keep
   * few objects warm.
   */
  static SimulatedDeployment longProcessingTimes(double requestsPerSecond, double boundFraction) {
    return new SimulatedDeployment(
        dataCentres(requestsPerSecond),
        List.of(
            new Service("read", servers(2, 3, 1), 5, 15, 25),
            new Service("write", servers(2, 3, 1), 4, 12, 25),
            new Service("move", servers(2, 3, 1), 6, 18, 50)),
        List.of(
            new RequestKind("look-up", "read", 0.47, 24, 880, 600, 2_500, 1, 2, 0),
            new RequestKind("order", "write", 0.26, 24, 1_160, 800, 3_000, 2, 1, 2),
            new RequestKind("urgent", "move", 0.17, 24, 600, 500, 2_000, 3, 0, 2),
            new RequestKind("report", "move", 0.1, 24, 3_520, 2_500, 8_000, 1, 2, 0)),
        0.1,
        0.9,
        55,
        1,
        boundFraction,
        "west");
  }

  private static List<DataCentre> dataCentres(double requestsPerSecond) {
    return List.of(
        new DataCentre("north-a", "north", 2, requestsPerSecond),
        new DataCentre("north-b", "north", 2, requestsPerSecond),
        new DataCentre("south-a", "south", 2, requestsPerSecond),
        new DataCentre("south-b", "south", 1, requestsPerSecond),
        new DataCentre("west-a", "west", 2, requestsPerSecond),
        new DataCentre("west-b", "west", 2, requestsPerSecond));
  }

  private static Map<String, Integer> servers(int north, int south, int west) {
    return Map.of(
        "north-a", north, "north-b", north, "south-a", south, "south-b", south, "west-a", west,
        "west-b", west);
  }
}
