package org.bambooarch.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.peer.internal.Inbox;
import org.bambooarch.peer.internal.OutboundPeer;
import org.bambooarch.peer.internal.PeerListener;

/**
 * The connections of one instance to its peers.
 *
 * <p>Messages go out on the connection that the sender opened, or else on one that the receiver
 * opened, and are handed to the control executor at the receiver. Delivery is not
 * guaranteed: what cannot be sent now is dropped and counted.
 *
 * <pre>{@code
 * PeerNetwork network = PeerNetwork.create(settings, PeerCodec.standard(), controlExecutor, random);
 * network.onMessage((from, message) -> membership.receive(from, message));
 * int port = network.start();
 * network.updatePeers(List.of(new PeerAddress("tvm-a-1", "10.0.1.1", 7401)));
 * network.send("tvm-a-1", message);
 * }</pre>
 */
public final class PeerNetwork implements PeerSender, AutoCloseable {

  private static final int EVENT_LOOP_THREADS = 1;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final PeerSettings settings;
  private final PeerCodec codec;
  private final RandomGenerator random;
  private final Inbox inbox;
  private final Map<String, OutboundPeer> peersByInstance = new ConcurrentHashMap<>();
  private volatile Consumer<PeerEvent> eventConsumer = event -> {};
  private final PeerListener listener;
  private EventLoopGroup group;

  private PeerNetwork(
      PeerSettings settings, PeerCodec codec, Executor controlExecutor, RandomGenerator random) {
    this.settings = settings;
    this.codec = codec;
    this.random = random;
    this.inbox = new Inbox(codec, controlExecutor);
    this.listener = new PeerListener(settings, inbox, this::publish);
  }

  /**
   * Creates the connections of an instance.
   *
   * @param controlExecutor runs all message handlers, one at a time
   * @param random spreads reconnects over time
   */
  public static PeerNetwork create(
      PeerSettings settings, PeerCodec codec, Executor controlExecutor, RandomGenerator random) {
    return new PeerNetwork(settings, codec, controlExecutor, random);
  }

  /** Sets the handler of received messages; call it before {@link #start}. */
  public PeerNetwork onMessage(PeerMessageHandler handler) {
    inbox.setHandler(handler);
    return this;
  }

  /** Sets who is told of connections that begin and end, on an event loop thread. */
  public PeerNetwork onEvent(Consumer<PeerEvent> consumer) {
    eventConsumer = consumer;
    return this;
  }

  /** Listens for peers and returns the port. */
  public int start() throws InterruptedException {
    group =
        new MultiThreadIoEventLoopGroup(
            EVENT_LOOP_THREADS, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
    return listener.bind(group);
  }

  /** Connects to the given peers and leaves all others; this instance itself is skipped. */
  public synchronized void updatePeers(List<PeerAddress> addresses) {
    Map<String, PeerAddress> wantedByInstance = new HashMap<>();
    for (PeerAddress address : addresses) {
      if (!address.instance().equals(settings.instance())) {
        wantedByInstance.put(address.instance(), address);
      }
    }
    for (OutboundPeer peer : List.copyOf(peersByInstance.values())) {
      if (!peer.address().equals(wantedByInstance.get(peer.address().instance()))) {
        peersByInstance.remove(peer.address().instance());
        peer.close();
      }
    }
    for (PeerAddress address : wantedByInstance.values()) {
      if (!peersByInstance.containsKey(address.instance())) {
        add(address);
      }
    }
  }

  private void add(PeerAddress address) {
    OutboundPeer peer = new OutboundPeer(address, settings, inbox, group, random, this::publish);
    peersByInstance.put(address.instance(), peer);
    peer.open();
  }

  @Override
  public void send(String instance, PeerMessage message) {
    byte[] payload = codec.encode(message).toByteArray();
    OutboundPeer peer = peersByInstance.get(instance);
    if (peer != null && peer.isConnected()) {
      peer.send(payload);
      return;
    }
    // A peer that has just started may be known by its own connection only.
    listener.send(instance, payload);
  }

  /** Returns the instances that have opened a connection to this one. */
  public Set<String> inboundPeers() {
    return listener.inboundPeers();
  }

  /** Returns the figures of all peers. */
  public List<PeerStatus> peerStatuses() {
    return peersByInstance.values().stream().map(OutboundPeer::status).toList();
  }

  /** Returns the figures of received messages. */
  public InboxStatus inboxStatus() {
    return new InboxStatus(
        inbox.receivedMessages(),
        inbox.receivedBytes(),
        inbox.unknownMessages(),
        inbox.droppedMessages());
  }

  /** Ends all connections. */
  @Override
  public synchronized void close() {
    listener.close();
    peersByInstance.values().forEach(OutboundPeer::close);
    peersByInstance.clear();
    if (group != null) {
      group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void publish(PeerEvent event) {
    eventConsumer.accept(event);
  }
}
