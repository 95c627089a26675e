package org.bambooarch.core.steering.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;

/** A server with slots, a bounded queue and a bounded set of objects for which it is warm. */
final class SimulatedServer {

  private static final double WARM_FRACTION = 0.3;

  private record Waiting(long object, double coldMillis, Runnable onEnd) {}

  private final String dataCentre;
  private final SimulatedDeployment.Service service;
  private final EventClock events;
  private final Random random;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private final Map<Long, Boolean> warmObjects;
  private double slowdown = 1;
  private OptionalDouble limitPerSecond = OptionalDouble.empty();
  private int running;

  SimulatedServer(
      String dataCentre, SimulatedDeployment.Service service, EventClock events, Random random) {
    this.dataCentre = dataCentre;
    this.service = service;
    this.events = events;
    this.random = random;
    this.warmObjects =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > service.warmObjects();
          }
        };
  }

  String dataCentre() {
    return dataCentre;
  }

  int running() {
    return running;
  }

  int waiting() {
    return queue.size();
  }

  void forgetObjects() {
    warmObjects.clear();
  }

  void slowDown(double factor) {
    slowdown = factor;
  }

  /** Names a limit of requests per second in all responses from now on, or none. */
  void nameLimit(OptionalDouble perSecond) {
    limitPerSecond = perSecond;
  }

  OptionalDouble limitPerSecond() {
    return limitPerSecond;
  }

  /** Runs or queues a request; returns false if the queue is full. */
  boolean offer(long object, double coldMillis, Runnable onEnd) {
    Waiting request = new Waiting(object, coldMillis, onEnd);
    if (running < service.slots()) {
      run(request);
      return true;
    }
    return queue.size() < service.queueCapacity() && queue.add(request);
  }

  private void run(Waiting request) {
    running++;
    double factor = warmObjects.containsKey(request.object()) ? WARM_FRACTION : 1;
    double spread = 0.85 + 0.3 * random.nextDouble();
    events.after(request.coldMillis() * factor * spread * slowdown, () -> end(request));
  }

  private void end(Waiting request) {
    running--;
    warmObjects.put(request.object(), true);
    request.onEnd().run();
    Waiting next = queue.poll();
    if (next != null) {
      run(next);
    }
  }
}
