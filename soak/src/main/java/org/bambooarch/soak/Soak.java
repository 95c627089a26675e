package org.bambooarch.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.bambooarch.platform.fake.StoreServer;

/** One run: starts store, servers, instances, clients and operator, and prints the result. */
final class Soak {

  /** Mean time between two requests of one client, in milliseconds. */
  private static final double CLIENT_PAUSE_MILLIS = 1_000;

  private static final long SAMPLE_PAUSE_MILLIS = 2_000;

  /** Addresses that the servers of a run share, each with a port of its own. */
  private static final int SERVERS_PER_ADDRESS = 50;

  /** What a run plays. */
  record Plan(
      long seed,
      long seconds,
      int instances,
      int servers,
      int ratePerSecond,
      double workMillis,
      double faultScale,
      int startGroup,
      boolean sameIds,
      boolean calm,
      boolean plannedOnly,
      double rollSeconds,
      List<StoreTrouble.Kind> storeTroubles) {}

  private final Plan plan;
  private final Path root;
  private final Path logs;
  private final Journal journal = new Journal();
  private final PlayedChanges changes = new PlayedChanges();
  private final RunClock clock;
  private final Random seeds;

  /** Prepares a run of the instances that were built in the repository {@code root}. */
  Soak(Plan plan, Path root, Path logs) {
    this.plan = plan;
    this.root = root;
    this.logs = logs;
    clock = new RunClock(plan.seconds());
    seeds = new Random(plan.seed());
  }

  /** Returns whether all promises were kept. */
  boolean run() throws IOException, InterruptedException {
    FaultSchedule faults = new FaultSchedule(seeds.nextLong(), plan.faultScale());
    System.out.println(plan);
    System.out.println("faults " + faults);
    String network = InstanceGroup.freeNetwork(new Random());
    try (StoreServer store = new StoreServer(plan.instances());
        InstanceGroup instances =
            new InstanceGroup(root, logs, network, plan.instances(), store::address)) {
      Runtime.getRuntime().addShutdownHook(new Thread(instances::close));
      String movedTo = PlayedDeployment.SERVICES.getFirst();
      Map<String, Set<String>> homes = PlayedDeployment.firstHomes();
      store.put("op", "config", PlayedDeployment.config(1, 3_000, false, movedTo, homes));
      changes.onConfiguration(
          new PlayedChanges.Configuration(movedTo, homes, System.nanoTime(), System.nanoTime()));
      LongAdder healthChecks = new LongAdder();
      SoakServer[] servers = startServers(store, network, faults, healthChecks);
      instances.startAll(plan.startGroup());
      clock.start();
      Operator operator = new Operator(store, servers, instances, clock, changes);
      long operatorSeed = seeds.nextLong();
      if (!plan.calm()) {
        operator.start(operatorSeed, plan.plannedOnly());
      }
      long storeSeed = seeds.nextLong();
      StoreTrouble storeTrouble = new StoreTrouble(store, plan.instances(), changes, clock);
      if (!plan.storeTroubles().isEmpty()) {
        storeTrouble.start(plan.storeTroubles(), storeSeed);
      }
      RollingStops rollingStops = new RollingStops(instances, clock);
      if (plan.rollSeconds() > 0) {
        rollingStops.start(plan.rollSeconds());
      }
      LongAdder left = new LongAdder();
      LongAdder failedConnects = new LongAdder();
      List<Thread> clients = startClients(instances, left, failedConnects);
      SoakReport report = new SoakReport(journal, changes, clock);
      sample(instances, report);
      for (Thread client : clients) {
        client.join();
      }
      report.add("instances-ended-at-start", instances.endedAtStart());
      report.add("instances-ended-later", instances.endedLater());
      report.add("instances-ended-by-force", instances.endedByForce());
      report.add("instances-stopped-in-turn", rollingStops.stops());
      report.add("instances-stopped-late", rollingStops.lateStops());
      report.add("instances-killed", operator.counts().killed().sum());
      report.add("instances-terminated", operator.counts().terminated().sum());
      report.add("servers-killed", operator.counts().serversKilled().sum());
      report.add("servers-left", operator.counts().serversLeft().sum());
      storeTrouble.counts().forEach((kind, count) -> report.add("store-" + kind, count.sum()));
      report.add("configurations", operator.counts().configs().sum());
      report.add("homes-moved", operator.counts().homesMoved().sum());
      report.add("clients-left", left.sum());
      report.add("connections-failed", failedConnects.sum());
      report.add("health-checks", healthChecks.sum());
      return report.print();
    }
  }

  private SoakServer[] startServers(
      StoreServer store, String network, FaultSchedule faults, LongAdder healthChecks)
      throws IOException {
    SoakServer.Environment environment =
        new SoakServer.Environment(
            journal,
            faults,
            clock,
            plan.workMillis(),
            new AtomicLong(),
            new AtomicLong(),
            healthChecks);
    SoakServer[] servers = new SoakServer[plan.servers()];
    for (int i = 0; i < servers.length; i++) {
      String ip = network + "." + (200 + i / SERVERS_PER_ADDRESS);
      SoakServer server =
          new SoakServer(
              "i-%08x".formatted(seeds.nextInt()),
              PlayedDeployment.serviceOf(i, servers.length),
              PlayedDeployment.ZONES.get(i % PlayedDeployment.ZONES.size()),
              new InetSocketAddress(InetAddress.getByName(ip), 0),
              seeds.nextLong(),
              environment);
      servers[i] = server;
      store.put("servers", server.id(), server.row());
    }
    return servers;
  }

  private List<Thread> startClients(
      InstanceGroup instances, LongAdder left, LongAdder failedConnects) {
    ClientWorker.Environment environment =
        new ClientWorker.Environment(
            journal,
            instances,
            clock,
            CLIENT_PAUSE_MILLIS,
            plan.sameIds(),
            new AtomicLong(),
            left,
            failedConnects);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < plan.ratePerSecond(); i++) {
      String zone = PlayedDeployment.ZONES.get(i % PlayedDeployment.ZONES.size());
      clients.add(Thread.ofVirtual().start(new ClientWorker(environment, zone, seeds.nextLong())));
    }
    return clients;
  }

  /** Measures memory and load until the end of the run. */
  private void sample(InstanceGroup instances, SoakReport report)
      throws IOException, InterruptedException {
    long peakMegabytes = 0;
    double peakLoad = 0;
    while (!clock.isOver()) {
      Thread.sleep(SAMPLE_PAUSE_MILLIS);
      peakMegabytes = Math.max(peakMegabytes, instances.residentMegabytes());
      String load = Files.readString(Path.of("/proc/loadavg"));
      peakLoad = Math.max(peakLoad, Double.parseDouble(load.substring(0, load.indexOf(' '))));
    }
    report.add("instances-resident-peak-mb", peakMegabytes);
    report.add("load-peak-1min", peakLoad);
  }
}
