package org.bambooarch.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.bambooarch.platform.fake.WireNames;
import org.tinylog.Logger;

/** The entry instances: processes with loopback addresses of their own. */
final class InstanceGroup implements AutoCloseable {

  private static final int FRONT_PORT = 8206;
  private static final int READY_PORT = 8201;
  private static final int DIRECTORY_PORT = 8209;
  private static final int METRICS_PORT = 9464;

  /** Longest time that an instance may take until it is ready. */
  private static final long MAX_START_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final int READY_TIMEOUT_MILLIS = 1_000;
  private static final long POLL_PAUSE_MILLIS = 100;

  /** What an instance is doing, as far as this process knows. */
  enum State {
    STARTING,
    READY,
    /** SIGTERM was sent, and the process has not ended. */
    STOPPING,
    ENDED
  }

  /** One instance; its process changes when it is started again. */
  static final class Instance {
    private final String name;
    private final String ip;
    private final String zone;
    private final Path settings;
    private volatile Process process;
    private volatile boolean stopping;
    private volatile State state = State.ENDED;

    Instance(String name, String ip, String zone, Path settings) {
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.settings = settings;
    }

    String name() {
      return name;
    }

    String zone() {
      return zone;
    }

    String region() {
      return PlayedDeployment.regionOf(zone);
    }

    State state() {
      return state;
    }

    InetSocketAddress front() {
      return new InetSocketAddress(ip, FRONT_PORT);
    }

    InetSocketAddress directory() {
      return new InetSocketAddress(ip, DIRECTORY_PORT);
    }

    /** Returns the front address as a look-up names it. */
    String frontName() {
      return ip + ":" + FRONT_PORT;
    }
  }

  private final Path root;
  private final Path logs;
  private final List<String> command;
  private final List<Instance> instances = new ArrayList<>();
  private final AtomicInteger endedAtStart = new AtomicInteger();
  private final AtomicInteger endedLater = new AtomicInteger();
  private final AtomicInteger endedByForce = new AtomicInteger();
  private volatile boolean closed;

  /**
   * Writes the settings of all instances.
   *
   * @param root root of the repository, whose deploy file names the command
   * @param logs folder for settings and logs
   * @param network first three numbers of a free loopback network
   * @param storeOf returns the store's address for an instance, counted from 0
   */
  InstanceGroup(
      Path root, Path logs, String network, int size, IntFunction<InetSocketAddress> storeOf)
      throws IOException {
    this.root = root;
    this.logs = logs;
    command = command(root);
    for (int i = 0; i < size; i++) {
      String zone = PlayedDeployment.ZONES.get(i % PlayedDeployment.ZONES.size());
      String name = "front-" + zone + "-" + (i + 1);
      String ip = network + "." + (11 + i);
      Path settings = logs.resolve(name + ".json");
      Files.writeString(settings, settings(name, ip, zone, storeOf.apply(i)));
      instances.add(new Instance(name, ip, zone, settings));
    }
  }

  private static String settings(String name, String ip, String zone, InetSocketAddress store) {
    return Templates.fill(
        "instance-settings.json",
        name,
        ip,
        zone,
        PlayedDeployment.regionOf(zone),
        store.getAddress().getHostAddress(),
        store.getPort());
  }

  private static List<String> command(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> words = new ArrayList<>(List.of(text.split(" ")));
        words.set(0, root.resolve(words.getFirst()).toString());
        return words;
      }
    }
    throw new IOException("deploy/system.toml has no run command");
  }

  /** Returns the first three numbers of a loopback network on which the ports are free. */
  static String freeNetwork(Random random) throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      String network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
      if (isFree(network + ".11", FRONT_PORT) && isFree(network + ".11", METRICS_PORT)) {
        return network;
      }
    }
    throw new IOException("no free loopback network found");
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
      return socket.isBound();
    } catch (IOException e) {
      Logger.debug("event=port-in-use ip={} port={} cause={}", ip, port, e);
      return false;
    }
  }

  /** Starts all instances, so many at a time, and waits until all are ready. */
  void startAll(int groupSize) throws IOException, InterruptedException {
    for (int from = 0; from < instances.size(); from += groupSize) {
      List<Instance> group = instances.subList(from, Math.min(instances.size(), from + groupSize));
      for (Instance instance : group) {
        start(instance);
      }
      for (Instance instance : group) {
        awaitReady(instance);
      }
    }
  }

  private synchronized void start(Instance instance) throws IOException {
    if (closed) {
      return;
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
    builder.environment().put(WireNames.SETTINGS_VARIABLE, instance.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(logs.resolve(instance.name + ".log").toFile()));
    instance.state = State.STARTING;
    instance.process = builder.start();
  }

  private void awaitReady(Instance instance) throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < MAX_START_NANOS && !closed) {
      if (!instance.process.isAlive()) {
        endedAtStart.incrementAndGet();
        Logger.warn(
            "event=ended-at-start instance={} status={}",
            instance.name,
            instance.process.exitValue());
        start(instance);
      }
      if (isReady(instance)) {
        instance.state = State.READY;
        instance.stopping = false;
        return;
      }
      Thread.sleep(POLL_PAUSE_MILLIS);
    }
    if (!closed) {
      throw new IOException(instance.name + " did not become ready");
    }
  }

  private static boolean isReady(Instance instance) throws IOException {
    URI uri = URI.create("http://" + instance.ip + ":" + READY_PORT + "/-/ready");
    HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
    call.setConnectTimeout(READY_TIMEOUT_MILLIS);
    call.setReadTimeout(READY_TIMEOUT_MILLIS);
    try {
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      Logger.debug("event=not-ready instance={} cause={}", instance.name, e);
      return false;
    } finally {
      call.disconnect();
    }
  }

  Instance any(Random random) {
    return instances.get(random.nextInt(instances.size()));
  }

  List<Instance> all() {
    return List.copyOf(instances);
  }

  /** Returns the instance with a front address that a look-up named. */
  Optional<Instance> withFrontName(String frontName) {
    return instances.stream().filter(each -> each.frontName().equals(frontName)).findFirst();
  }

  private synchronized boolean claim(Instance instance) {
    boolean claimed = !instance.stopping;
    instance.stopping = true;
    return claimed;
  }

  /**
   * Stops an instance by SIGKILL or SIGTERM, waits for its end and starts it again.
   *
   * @return false if another caller is restarting it
   */
  boolean restart(Instance instance, boolean kill) throws IOException, InterruptedException {
    if (!claim(instance)) {
      return false;
    }
    if (kill) {
      instance.state = State.ENDED;
      instance.process.destroyForcibly();
    } else {
      instance.state = State.STOPPING;
      instance.process.destroy();
    }
    if (!instance.process.waitFor(8, TimeUnit.SECONDS)) {
      endedByForce.incrementAndGet();
      instance.process.destroyForcibly().waitFor();
    }
    instance.state = State.ENDED;
    if (!closed) {
      start(instance);
      awaitReady(instance);
    }
    return true;
  }

  /**
   * Starts instances again whose process has ended by itself.
   *
   * @return whether there was one
   */
  boolean restartEnded() throws IOException, InterruptedException {
    boolean found = false;
    for (Instance instance : instances) {
      if (!instance.process.isAlive() && claim(instance)) {
        found = true;
        instance.state = State.ENDED;
        endedLater.incrementAndGet();
        Logger.warn(
            "event=ended instance={} status={}", instance.name, instance.process.exitValue());
        start(instance);
        awaitReady(instance);
      }
    }
    return found;
  }

  int endedAtStart() {
    return endedAtStart.get();
  }

  /** Returns how many instances had not ended within eight seconds after SIGTERM. */
  int endedByForce() {
    return endedByForce.get();
  }

  int endedLater() {
    return endedLater.get();
  }

  /** Returns the resident memory of all processes in megabytes. */
  long residentMegabytes() {
    long kilobytes = 0;
    for (Instance instance : instances) {
      Path status = Path.of("/proc/" + instance.process.pid() + "/status");
      try {
        for (String line : Files.readAllLines(status)) {
          if (line.startsWith("VmRSS:")) {
            kilobytes += Long.parseLong(line.replaceAll("\\D", ""));
          }
        }
      } catch (IOException e) {
        Logger.debug("event=memory-unknown instance={} cause={}", instance.name, e);
      }
    }
    return kilobytes / 1024;
  }

  @Override
  public synchronized void close() {
    closed = true;
    for (Instance instance : instances) {
      instance.stopping = true;
      if (instance.process != null) {
        instance.process.destroyForcibly();
      }
    }
  }
}
