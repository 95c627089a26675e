package org.bambooarch.soak;

import java.io.IOException;
import java.net.NoRouteToHostException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The instances that one client may call: the answer of its last look-up, while it is kept. */
final class InstanceChoice {

  /** Share of the clients that keep an answer three times as long as it says. */
  private static final double LONG_KEEPERS_SHARE = 0.2;

  private final InstanceGroup instances;
  private final LookupClient lookups;
  private final Random random;
  private final int keepFactor;

  /** Addresses of the kept answer that have failed this client. */
  private final Set<String> failed = new HashSet<>();

  private LookupClient.Answered kept;
  private long renewAtNanos;

  InstanceChoice(InstanceGroup instances, LookupClient lookups, Random random) {
    this.instances = instances;
    this.lookups = lookups;
    this.random = random;
    keepFactor = random.nextDouble() < LONG_KEEPERS_SHARE ? 3 : 1;
  }

  String clientRegion() {
    return lookups.clientRegion();
  }

  /** Returns the look-up whose answer is kept, or null. */
  Lookup lookup() {
    return kept == null ? null : kept.lookup();
  }

  /** Looks up again if the kept answer has expired; without a new answer it stays. */
  void refresh() {
    if (kept != null && System.nanoTime() - renewAtNanos < 0) {
      return;
    }
    Optional<LookupClient.Answered> found = lookups.ask();
    if (found.isPresent()) {
      kept = found.get();
      long keptMillis = kept.answer().ttlMillis() * keepFactor;
      renewAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(keptMillis);
      failed.clear();
    }
  }

  /** Returns whether the kept answer names an instance. */
  boolean isNamed(InstanceGroup.Instance instance) {
    return kept != null && kept.answer().addresses().contains(instance.frontName());
  }

  /** Returns one of the named instances, none that has failed unless all have. */
  InstanceGroup.Instance pick() throws IOException {
    if (kept == null) {
      throw new NoRouteToHostException("no look-up was answered");
    }
    List<String> named = kept.answer().addresses();
    List<String> good = named.stream().filter(address -> !failed.contains(address)).toList();
    if (good.isEmpty()) {
      failed.clear();
      renewAtNanos = System.nanoTime();
      good = named;
    }
    String address = good.get(random.nextInt(good.size()));
    return instances
        .withFrontName(address)
        .orElseThrow(() -> new NoRouteToHostException("no instance has the address " + address));
  }

  /** Leaves an instance out until the next look-up. */
  void onFailed(InstanceGroup.Instance instance) {
    failed.add(instance.frontName());
  }
}
