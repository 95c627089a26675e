package org.bambooarch.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.peer.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// The timeout only ends a run that hangs; no assertion depends on how long something takes.
@Timeout(60)
class PeerNetworkTest {

  private static final String HOST = "127.0.0.1";
  private static final Secret SECRET = Secret.fromText("the shared secret of this fleet");
  private static final PeerMessage MESSAGE = new ConfigMessage.PullDeltas(41);

  private final ExecutorService control = Executors.newSingleThreadExecutor();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> senders = new LinkedBlockingQueue<>();
  private final BlockingQueue<PeerEvent> events = new LinkedBlockingQueue<>();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
    control.shutdownNow();
  }

  private PeerNetwork network(String instance, Secret secret) {
    PeerSettings settings =
        PeerSettings.of(instance, HOST, 0, List.of(secret))
            .withLiveness(Duration.ofMillis(50), Duration.ofMillis(500));
    PeerNetwork network =
        PeerNetwork.create(settings, PeerCodec.standard(), control, new Random(1));
    closeables.add(network);
    return network.onEvent(events::add);
  }

  private int startReceiver(String instance, Secret secret) throws Exception {
    return network(instance, secret)
        .onMessage(
            (from, message) -> {
              senders.add(from);
              received.add(message);
            })
        .start();
  }

  private <T extends PeerEvent> T awaitEvent(Class<T> type) throws InterruptedException {
    while (true) {
      PeerEvent event = events.take();
      if (type.isInstance(event)) {
        return type.cast(event);
      }
    }
  }

  @Test
  void should_deliver_a_message_with_the_authenticated_name_when_its_sender_is_connected()
      throws Exception {
    // given
    int port = startReceiver("tvm-a-1", SECRET);
    PeerNetwork sender = network("kochi-a-1", SECRET);
    sender.start();
    sender.updatePeers(List.of(new PeerAddress("tvm-a-1", HOST, port)));
    awaitEvent(PeerEvent.Connected.class);
    // when
    sender.send("tvm-a-1", MESSAGE);
    // then
    assertThat(received.take()).isEqualTo(MESSAGE);
    assertThat(senders.take()).isEqualTo("kochi-a-1");
  }

  @Test
  void should_reject_a_peer_when_it_uses_another_secret() throws Exception {
    // given
    int port = startReceiver("tvm-a-1", SECRET);
    PeerNetwork untrusted = network("kochi-a-1", Secret.fromText("a secret of someone else"));
    untrusted.start();
    // when
    untrusted.updatePeers(List.of(new PeerAddress("tvm-a-1", HOST, port)));
    // then
    assertThat(awaitEvent(PeerEvent.Rejected.class).reason()).contains("shared secrets");
    assertThat(untrusted.peerStatuses().getFirst().connected()).isFalse();
  }

  @Test
  void should_reject_the_connection_when_another_instance_listens_at_the_address()
      throws Exception {
    // given
    int port = startReceiver("tvm-a-2", SECRET);
    PeerNetwork sender = network("kochi-a-1", SECRET);
    sender.start();
    // when
    sender.updatePeers(List.of(new PeerAddress("tvm-a-1", HOST, port)));
    // then
    assertThat(awaitEvent(PeerEvent.Rejected.class).reason())
        .contains("expected instance tvm-a-1", "got tvm-a-2");
  }

  @Test
  void should_replace_a_connection_when_no_data_arrives_on_it() throws Exception {
    // given
    int port = startReceiver("tvm-a-1", SECRET);
    TcpForwarder forwarder = TcpForwarder.to(HOST, port);
    closeables.add(forwarder);
    PeerNetwork sender = network("kochi-a-1", SECRET);
    sender.start();
    sender.updatePeers(List.of(new PeerAddress("tvm-a-1", HOST, forwarder.port())));
    awaitEvent(PeerEvent.Connected.class);
    // when
    forwarder.stallOpenConnections();
    // then
    assertThat(awaitEvent(PeerEvent.Disconnected.class).reason()).contains("no sign of life");
    awaitEvent(PeerEvent.Connected.class);
    sender.send("tvm-a-1", MESSAGE);
    assertThat(received.take()).isEqualTo(MESSAGE);
  }

  @Test
  void should_reply_on_the_connection_of_the_peer_when_its_address_is_not_known() throws Exception {
    // given
    PeerNetwork responder = network("tvm-a-1", SECRET);
    responder.onMessage((from, message) -> responder.send(from, MESSAGE));
    int port = responder.start();
    PeerNetwork requester = network("kochi-a-1", SECRET);
    requester.onMessage((from, message) -> received.add(message)).start();
    requester.updatePeers(List.of(new PeerAddress("tvm-a-1", HOST, port)));
    awaitEvent(PeerEvent.Connected.class);
    // when
    requester.send("tvm-a-1", new ConfigMessage.HeadProbe(1, 0));
    // then
    assertThat(received.take()).isEqualTo(MESSAGE);
  }

  @Test
  void should_drop_a_message_and_keep_the_connection_when_it_is_larger_than_a_frame()
      throws Exception {
    // given
    int port = startReceiver("tvm-a-1", SECRET);
    PeerNetwork sender = network("kochi-a-1", SECRET);
    sender.start();
    sender.updatePeers(List.of(new PeerAddress("tvm-a-1", HOST, port)));
    awaitEvent(PeerEvent.Connected.class);
    // when
    sender.send("tvm-a-1", new ConfigMessage.SnapshotPart(1, 1, 0, "x".repeat(70_000)));
    sender.send("tvm-a-1", MESSAGE);
    // then
    assertThat(received.take()).isEqualTo(MESSAGE);
    assertThat(sender.peerStatuses().getFirst().droppedMessages()).isEqualTo(1);
  }
}
