package org.bambooarch.gateway.bodypath;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.bambooarch.gateway.bodypath.SimulatedClient.Ending;
import org.bambooarch.gateway.request.BufferedResponseRelay;
import org.bambooarch.gateway.request.ClientRequestBody;
import org.bambooarch.gateway.spi.RelayHeaders;

/**
 * One seeded run: rounds of requests whose events come in random order, each followed by the checks
 * of what must hold then.
 */
final class BodyPathRun {

  private static final int ROUNDS = 12;
  private static final int MAX_CLIENTS = 4;
  private static final int MAX_STEPS = 160;

  /** Longest part that a client sends or a server writes at once, in bytes. */
  private static final int MAX_PART_BYTES = 64 * 1024;

  /**
   * Most bytes of a request's body that the instance may hold: a full buffer, the part that
   * exceeded it and the one behind it.
   */
  private static final long MAX_HELD_REQUEST_BYTES =
      ClientRequestBody.MAX_BUFFERED_BYTES + 2L * MAX_PART_BYTES;

  /**
   * Most bytes of a response that the instance may hold: a full buffer, the part that exceeded it
   * and the parts that a read may add to it.
   */
  private static final long MAX_HELD_RESPONSE_BYTES =
      BufferedResponseRelay.MAX_BUFFERED_BYTES + 2L * MAX_PART_BYTES;

  /** Time after which every request of a round has ended, in milliseconds. */
  private static final long LONGEST_REQUEST_MILLIS = 6_000;

  private static final int TRACED_EVENTS = 60;
  private static final int[] PART_BYTES = {1, 900, 16_384, 40_000, MAX_PART_BYTES, MAX_PART_BYTES};
  private static final int[] BODY_BYTES = {
    0, 0, 1, 5_000, 65_536, 65_537, 70_000, 200_000, 280_000, 310_000
  };
  private static final int[] RESPONSE_BYTES = {0, 1, 5_000, 200_000, 262_145, 300_000, 700_000};
  private static final String[] FRAMINGS = {"length", "chunked", "chunked", "close"};
  private static final long[] STEP_MILLIS = {1, 1, 5, 5, 20, 20, 100, 400};

  private final long seed;
  private final Random random;

  /** Decides which ids and answers come again; the seeds of other runs don't depend on it. */
  private final Optional<Random> repetitions;

  private final List<String> usedIds = new ArrayList<>();
  private final BodyPathWorld world;
  private final Deque<String> trace = new ArrayDeque<>();
  private final List<SimulatedClient> clients = new ArrayList<>();
  private final List<Runnable> choices = new ArrayList<>();
  private int round;
  private boolean stopping;

  /** Creates a run in which each client has an id of its own. */
  BodyPathRun(long seed) {
    this(seed, Optional.empty());
  }

  private BodyPathRun(long seed, Optional<Random> repetitions) {
    this.seed = seed;
    this.repetitions = repetitions;
    this.random = new Random(seed);
    this.world = new BodyPathWorld(new Random(seed));
  }

  /**
   * Creates a run in which clients try again with an id that others had, and servers repeat the
   * answer to an earlier request while they work on the next one.
   */
  static BodyPathRun withRepeatedIds(long seed) {
    return new BodyPathRun(seed, Optional.of(new Random(~seed)));
  }

  /** Plays the run; returns what was found, or empty if all checks held. */
  Optional<String> play() {
    try (world) {
      for (round = 0; round < ROUNDS && !stopping; round++) {
        playRound();
        if (!world.violations().isEmpty()) {
          return Optional.of(report());
        }
      }
    }
    checkLinksClosed();
    return world.violations().isEmpty() ? Optional.empty() : Optional.of(report());
  }

  private String report() {
    return "seed %d, round %d:%n  %s%nclients:%n  %s%nlinks:%n  %s%nlast events:%n  %s"
        .formatted(
            seed,
            round,
            String.join("\n  ", world.violations()),
            String.join("\n  ", clients.stream().map(Object::toString).toList()),
            String.join("\n  ", world.links().stream().map(Object::toString).toList()),
            String.join("\n  ", trace));
  }

  private void playRound() {
    clients.clear();
    int wanted = 1 + random.nextInt(MAX_CLIENTS);
    int steps = 20 + random.nextInt(MAX_STEPS);
    for (int i = 0; i < steps && world.violations().isEmpty(); i++) {
      if (clients.size() < wanted && random.nextInt(4) == 0) {
        startClient();
      }
      collectChoices();
      choices.get(random.nextInt(choices.size())).run();
      if (random.nextInt(4) > 0) {
        world.settle();
        clients.forEach(this::checkArrived);
      }
      checkAlways();
    }
    endRound();
    checkEnd();
    world.links().removeIf(link -> !link.channel().isOpen());
  }

  private void startClient() {
    String id = "r" + round + "-" + clients.size();
    boolean order = random.nextBoolean();
    boolean relayed = random.nextInt(5) == 0;
    long bodyBytes = BODY_BYTES[random.nextInt(BODY_BYTES.length)];
    boolean framed = random.nextBoolean() && bodyBytes <= BodyPathWorld.MAX_BODY_BYTES;
    long timeout = 200 + random.nextInt(1_800);
    String requestId = chooseRequestId(id);
    event("start %s as %s order=%b relayed=%b body=%d", id, requestId, order, relayed, bodyBytes);
    SimulatedClient client = world.start(id, requestId, order, relayed, bodyBytes, framed, timeout);
    clients.add(client);
    if (bodyBytes == 0) {
      client.sendPart(1);
    }
  }

  private String chooseRequestId(String unusedId) {
    if (repetitions.isPresent() && !usedIds.isEmpty() && repetitions.get().nextInt(3) > 0) {
      return usedIds.get(repetitions.get().nextInt(usedIds.size()));
    }
    usedIds.add(unusedId);
    return unusedId;
  }

  private void event(String format, Object... arguments) {
    trace.addLast(format.formatted(arguments));
    if (trace.size() > TRACED_EVENTS) {
      trace.removeFirst();
    }
  }

  private void choice(int weight, String name, Object subject, Runnable action) {
    for (int i = 0; i < weight; i++) {
      choices.add(
          () -> {
            event("%s %s", name, subject);
            action.run();
          });
    }
  }

  private void collectChoices() {
    choices.clear();
    long millis = STEP_MILLIS[random.nextInt(STEP_MILLIS.length)];
    choice(1, "advance", millis, () -> world.advance(millis));
    choice(1, "settle", "", world::settle);
    clients.forEach(this::collectClientChoices);
    world.links().forEach(this::collectLinkChoices);
    collectInstanceChoices();
  }

  private void collectInstanceChoices() {
    int index = random.nextInt(3);
    if (random.nextInt(8) == 0) {
      choice(1, "remove server", index, () -> world.removeServer(index));
      choice(1, "list servers", "", world::listServers);
      choice(1, "partition", "", () -> world.partition(!world.isPartitioned()));
      choice(1, "close idle", "", world::closeIdle);
    }
    if (round >= ROUNDS / 2 && random.nextInt(16) == 0) {
      stopping = true;
      choice(4, "stop", "", world::beginStop);
    }
  }

  private void collectClientChoices(SimulatedClient client) {
    if (client.ending() == Ending.LEFT && !client.hasReportedLeft()) {
      choice(2, "report left", client, client::reportLeft);
    }
    if (client.ending() != Ending.NONE) {
      return;
    }
    if (client.maySend()) {
      int bytes = PART_BYTES[random.nextInt(PART_BYTES.length)];
      choice(6, "client sends " + bytes, client, () -> client.sendPart(bytes));
    }
    if (client.isPaused()) {
      choice(1, "client resumes", client, client::resume);
    } else {
      choice(1, "client pauses", client, client::pause);
    }
    if (random.nextInt(6) == 0) {
      choice(1, "client leaves", client, client::leave);
      choice(1, "client breaks at the next write", client, client::breakAtNextWrite);
    }
  }

  private void collectLinkChoices(SimulatedLink link) {
    if (link.channel().isConnecting()) {
      choice(6, "connect", link, link.channel()::connectNow);
      choice(1, "refuse", link, () -> link.refuseConnection(false));
      choice(1, "connect timeout", link, () -> link.refuseConnection(true));
      return;
    }
    if (random.nextInt(4) == 0) {
      choice(1, "toggle slow", link, () -> link.channel().peerSlow(!link.channel().isPeerSlow()));
    }
    if (link.channel().holdsWrites()) {
      choice(6, "server reads", link, link.channel()::passWrite);
    }
    if (link.isAccepted()) {
      collectServerChoices(link);
    }
  }

  private void collectServerChoices(SimulatedLink link) {
    if (link.awaitsHead()) {
      choice(link.hasWholeRequest() ? 6 : 1, "head", link, () -> sendHead(link));
    } else if (link.awaitsBody()) {
      int bytes = PART_BYTES[random.nextInt(PART_BYTES.length)];
      choice(8, "server sends " + bytes, link, () -> link.sendParts(bytes, 1));
      choice(1, "server sends tiny parts", link, () -> link.sendParts(1, 2_000));
    }
    if (repetitions.isPresent() && link.awaitsHead() && link.hasEarlierAnswer()) {
      choice(2, "repeat earlier answer", link, link::repeatEarlierAnswer);
    }
    if (random.nextInt(10) > 0) {
      return;
    }
    choice(1, "fin", link, link::sendFin);
    choice(1, "reset", link, link::reset);
    String other = OTHER_BYTES[random.nextInt(OTHER_BYTES.length)];
    if (!link.awaitsBody()) {
      choice(1, "other bytes", link, () -> link.sendOther(other));
    }
  }

  /** Bytes that are no response to the request in progress. */
  private static final String[] OTHER_BYTES = {
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 503 x\r\nid: other\r\nsays: not-run\r\ncontent-length: 2\r\n\r\nno",
    "HTTP/1.1 200 x\r\nid: other\r\nsays: run\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
        + "0\r\n\r\n",
    "nonsense\r\n\r\n"
  };

  private void sendHead(SimulatedLink link) {
    String framing = FRAMINGS[random.nextInt(FRAMINGS.length)];
    long bytes = RESPONSE_BYTES[random.nextInt(RESPONSE_BYTES.length)];
    if (world.isRelay(link.remote()) && random.nextInt(3) == 0) {
      sendRelayOutcome(link);
      return;
    }
    switch (random.nextInt(10)) {
      case 0, 1 -> {
        world.onNotRun(link.requestId());
        link.sendHead(503, PlainFormat.NOT_RUN, framing, bytes, "");
      }
      case 2 -> {
        world.onNotRun(link.requestId());
        link.sendHead(421, PlainFormat.MISDIRECTED, framing, bytes, "");
      }
      case 3 -> link.sendHead(500, PlainFormat.RUN, framing, bytes, "");
      case 4 -> link.sendHead(200, "", framing, bytes, "");
      default -> link.sendHead(200, PlainFormat.RUN, framing, bytes, "");
    }
  }

  private void sendRelayOutcome(SimulatedLink link) {
    RelayHeaders.Outcome outcome =
        random.nextBoolean() ? RelayHeaders.Outcome.NOT_SENT : RelayHeaders.Outcome.LOST;
    if (outcome == RelayHeaders.Outcome.NOT_SENT) {
      world.onNotRun(link.requestId());
    }
    String extra = RelayHeaders.OUTCOME + ": " + outcome.headerValue() + "\r\n";
    link.sendHead(503, PlainFormat.RUN, "length", 0, extra);
  }

  /** Lets every request come to its end: clients read again or later, and time passes. */
  private void endRound() {
    if (random.nextBoolean()) {
      event("deadlines pass");
      world.advance(LONGEST_REQUEST_MILLIS);
      checkAlways();
    }
    event("clients read");
    clients.forEach(SimulatedClient::resume);
    world.settle();
    checkAlways();
    event("connects time out and servers read");
    for (SimulatedLink link : List.copyOf(world.links())) {
      if (link.channel().isConnecting()) {
        link.refuseConnection(true);
      }
      link.channel().peerSlow(false);
      link.connectAtOnce(true);
    }
    world.advance(LONGEST_REQUEST_MILLIS);
    for (SimulatedClient client : clients) {
      if (client.ending() == Ending.LEFT && !client.hasReportedLeft()) {
        client.reportLeft();
      }
    }
    world.settle();
  }

  private void checkAlways() {
    check(world.smallestServerCount() >= 0, "a server's count of own requests is below zero");
    for (SimulatedClient client : clients) {
      checkHeldBytes(client);
      checkRuns(client);
    }
    if (world.inFlight() == 0) {
      check(
          clients.stream().noneMatch(client -> client.ending() == Ending.NONE),
          "no request counts as in flight while a client waits");
    }
  }

  private void checkHeldBytes(SimulatedClient client) {
    if (client.ending() != Ending.NONE) {
      return;
    }
    for (SimulatedLink link : world.links()) {
      long held = link.readPayloadBytes() - client.receivedBytes();
      check(
          !link.lastRequestId().equals(client.id())
              || !link.isKept()
              || held <= MAX_HELD_RESPONSE_BYTES,
          "%d bytes of the response to %s are held".formatted(held, client.id()));
    }
    long held = client.sentBytes() - world.arrivedBytes(client.id());
    check(
        held <= MAX_HELD_REQUEST_BYTES,
        "%d bytes of the body of %s are held".formatted(held, client.id()));
  }

  /** Checks that a server has got what its client has sent, once no task is due. */
  private void checkArrived(SimulatedClient client) {
    for (SimulatedLink link : world.links()) {
      boolean reads = link.isAccepted() && !link.channel().holdsWrites();
      boolean running = client.ending() == Ending.NONE && link.awaitsHead();
      check(
          !reads
              || !running
              || !link.requestId().equals(client.id())
              || !client.hasSentAll()
              || link.hasWholeRequest(),
          "a server waits for the end of the body of " + client.id());
    }
    check(
        client.isRelayed() || world.arrivedBytes(client.id()) <= BodyPathWorld.MAX_BODY_BYTES,
        "a server got a body over the limit from " + client.id());
  }

  private void checkRuns(SimulatedClient client) {
    boolean order = client.request().path().startsWith("/order/");
    int runs = world.runs(client.id());
    check(
        runs <= (order ? 1 : BodyPathWorld.MAX_SERVERS),
        "%s ran on %d servers".formatted(client.id(), runs));
    check(
        runs <= 0 || client.status() != 503,
        "client %s was told that its request did not run".formatted(client.id()));
  }

  private void checkEnd() {
    checkAlways();
    for (SimulatedClient client : clients) {
      check(client.ending() != Ending.NONE, "client %s waits for ever".formatted(client.id()));
    }
    check(world.inFlight() == 0, "%d requests are in flight".formatted(world.inFlight()));
    check(world.heldBytes() == 0, world.heldBytes() + " bytes of responses count as held");
    check(world.largestServerCount() == 0, "a server's count of own requests is above zero");
    check(
        world.finishedRequests() == world.proxiedRequests(),
        "%d of %d requests have ended"
            .formatted(world.finishedRequests(), world.proxiedRequests()));
    for (SimulatedLink link : world.links()) {
      checkLink(link);
    }
  }

  private void checkLink(SimulatedLink link) {
    boolean open = link.channel().isOpen();
    check(!open || link.channel().config().isAutoRead(), "not read: " + link);
    check(!open || !link.channel().hasUnread(), "unread: " + link);
    check(!open || link.requestId().isEmpty(), "works for no one: " + link);
    check(!link.hasLeaked(), "a buffer was not released: " + link);
  }

  private void checkLinksClosed() {
    for (SimulatedLink link : world.links()) {
      check(!link.channel().isOpen(), "open after the stop: " + link);
    }
  }

  private void check(boolean condition, String violation) {
    if (!condition) {
      world.violations().add(violation);
    }
  }
}
