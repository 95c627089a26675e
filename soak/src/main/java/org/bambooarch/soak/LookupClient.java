package org.bambooarch.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ProtocolException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/** Asks the nearest instances which instances a client may call. */
final class LookupClient {

  private static final int MAX_TRIES = 3;

  /** Longest time that one instance may take, in milliseconds. */
  private static final long TRY_TIMEOUT_MILLIS = 1_000;

  /** A look-up that was answered. */
  record Answered(Lookup lookup, LookupResponse answer) {}

  private final InstanceGroup instances;
  private final Journal journal;
  private final String host;
  private final String zone;
  private final Random random;

  LookupClient(InstanceGroup instances, Journal journal, String host, String zone, Random random) {
    this.instances = instances;
    this.journal = journal;
    this.host = host;
    this.zone = zone;
    this.random = random;
  }

  String clientRegion() {
    return PlayedDeployment.regionOf(zone);
  }

  /** Returns the first answer of the nearest instances; empty if none of three answers. */
  Optional<Answered> ask() {
    long askedNanos = System.nanoTime();
    List<Lookup.Try> tries = new ArrayList<>();
    for (InstanceGroup.Instance instance : nearestFirst().subList(0, maxTries())) {
      InstanceGroup.State state = instance.state();
      try {
        LookupResponse answer = call(instance);
        tries.add(new Lookup.Try(instance.name(), state, true));
        Lookup lookup =
            new Lookup(host, clientRegion(), tries, regions(answer.addresses()), askedNanos);
        journal.add(lookup);
        return Optional.of(new Answered(lookup, answer));
      } catch (IOException e) {
        Logger.debug("event=look-up-failed instance={} cause={}", instance.name(), e);
        tries.add(new Lookup.Try(instance.name(), state, false));
      }
    }
    journal.add(new Lookup(host, clientRegion(), tries, Set.of(), askedNanos));
    return Optional.empty();
  }

  private int maxTries() {
    return Math.min(MAX_TRIES, instances.all().size());
  }

  private List<InstanceGroup.Instance> nearestFirst() {
    List<InstanceGroup.Instance> all = new ArrayList<>(instances.all());
    Collections.shuffle(all, random);
    all.sort(
        Comparator.comparing((InstanceGroup.Instance each) -> !each.zone().equals(zone))
            .thenComparing(each -> !each.region().equals(clientRegion())));
    return all;
  }

  private Set<String> regions(List<String> addresses) {
    return addresses.stream()
        .flatMap(address -> instances.withFrontName(address).stream())
        .map(InstanceGroup.Instance::region)
        .collect(Collectors.toUnmodifiableSet());
  }

  private LookupResponse call(InstanceGroup.Instance instance) throws IOException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TRY_TIMEOUT_MILLIS);
    try (Socket socket = new Socket()) {
      socket.connect(instance.directory(), (int) TRY_TIMEOUT_MILLIS);
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      socket.setSoTimeout((int) Math.max(1, leftMillis));
      String request =
          ("GET /-/resolve?name=%s&region=%s&zone=%s HTTP/1.1\r\n"
                  + "Host: %s\r\nConnection: close\r\n\r\n")
              .formatted(host, clientRegion(), zone, instance.directory().getHostString());
      socket.getOutputStream().write(Messages.bytes(request));
      MessageReader reader = new MessageReader(socket.getInputStream());
      MessageReader.Head head = reader.readHead();
      if (head == null || head.status() != 200) {
        throw new ProtocolException("expected status 200, found " + head);
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      reader.readBody(head, true, body);
      return LookupResponse.parse(body.toString(StandardCharsets.UTF_8));
    }
  }
}
