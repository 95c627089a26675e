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
 * <p>A message is sent on the connection that this instance opened to the receiver or, while there
 * is none, on the connection that the receiver opened. The receiver passes it to its control
 * executor. Delivery is not guaranteed: a message that cannot be sent at once is dropped. Drops on
 * the connection that this instance opened are counted in {@link PeerStatus#droppedMessages}.
 *
 * <pre>{@code
 * PeerNetwork network =
 *     PeerNetwork.create(settings, PeerCodec.standard(), controlExecutor, random);
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
   * Creates a network without connections; {@link #start} and {@link #updatePeers} open them.
   *
   * @param controlExecutor runs the message handler, one call at a time
   * @param random source of the random part of the reconnect delays
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

  /** Sets the consumer of connection events; it is called on an event loop thread. */
  public PeerNetwork onEvent(Consumer<PeerEvent> consumer) {
    eventConsumer = consumer;
    return this;
  }

  /** Starts to listen for peers and returns the bound port; call it before {@link #updatePeers}. */
  public int start() throws InterruptedException {
    group =
        new MultiThreadIoEventLoopGroup(
            EVENT_LOOP_THREADS, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
    return listener.bind(group);
  }

  /**
   * Connects to the given peers and closes the connections to all others.
   *
   * <p>A peer whose address has changed is connected anew. An address of this instance itself is
   * skipped.
   */
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
    // A peer that has just started may have connected to this instance before its address is known
    // here.
    listener.send(instance, payload);
  }

  /** Returns the names of the instances that have an open connection to this one. */
  public Set<String> inboundPeers() {
    return listener.inboundPeers();
  }

  /** Returns the status of the connection to each peer given to {@link #updatePeers}. */
  public List<PeerStatus> peerStatuses() {
    return peersByInstance.values().stream().map(OutboundPeer::status).toList();
  }

  /** Returns the counters of received messages. */
  public InboxStatus inboxStatus() {
    return new InboxStatus(
        inbox.receivedMessages(),
        inbox.receivedBytes(),
        inbox.unknownMessages(),
        inbox.droppedMessages());
  }

  /** Stops listening and closes all connections. */
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
