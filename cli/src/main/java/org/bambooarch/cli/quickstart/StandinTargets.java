package org.bambooarch.cli.quickstart;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.standin.StandinTarget;

/** The stand-ins of a list of servers, in one process. */
public final class StandinTargets implements AutoCloseable {

  private final List<StandinTarget> targets = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();

  private StandinTargets() {}

  /** Starts a stand-in for each server on the port that the inventory states. */
  public static StandinTargets startOnDeclaredPorts(List<Server> servers) {
    StandinTargets targets = new StandinTargets();
    for (Server server : servers) {
      targets.start(server, server.port());
    }
    return targets;
  }

  /** Starts a stand-in for each server on a free port. */
  public static StandinTargets startOnFreePorts(List<Server> servers) {
    StandinTargets targets = new StandinTargets();
    for (Server server : servers) {
      targets.start(server, 0);
    }
    return targets;
  }

  /** Returns the servers with the ports on which their stand-ins listen. */
  public List<Server> servers() {
    return List.copyOf(servers);
  }

  /** Returns the number of stand-ins. */
  public int count() {
    return targets.size();
  }

  /** Returns the number of requests that all stand-ins together have received. */
  public long requestCount() {
    return targets.stream().mapToLong(StandinTarget::requestCount).sum();
  }

  /** Stops all stand-ins in parallel, because each one takes seconds to stop. */
  @Override
  public void close() {
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      for (StandinTarget target : targets) {
        threads.execute(target::close);
      }
    }
  }

  private void start(Server server, int port) {
    StandinTarget target = StandinTarget.startOn(server.name(), server.host(), port);
    targets.add(target);
    servers.add(
        new Server(
            server.name(),
            server.service(),
            server.dataCentre(),
            server.host(),
            target.port(),
            server.slots(),
            server.connectionLimit()));
  }
}
