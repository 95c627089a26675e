package org.bambooarch.entry.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.peer.PeerAddress;
import org.bambooarch.peer.PeerCodec;
import org.bambooarch.peer.PeerEvent;
import org.bambooarch.peer.PeerHandler;
import org.bambooarch.peer.PeerNetwork;
import org.bambooarch.peer.PeerSettings;
import org.bambooarch.peer.PeerStatus;
import org.bambooarch.peer.Secret;
import org.bambooarch.store.InstanceRecord;
import org.tinylog.Logger;

/** The connections to other instances, or none when the settings name no secret. */
final class PeerConnections implements PeerSender, AutoCloseable {

  private final EntrySettings settings;
  private final Optional<PeerNetwork> network;
  private int port;

  PeerConnections(
      EntrySettings settings, Executor control, RandomGenerator random, PeerHandler handler) {
    this.settings = settings;
    this.port = settings.peersPort();
    this.network =
        settings.control().peerSecrets().isEmpty()
            ? Optional.empty()
            : Optional.of(create(settings, control, random, handler));
  }

  private static PeerNetwork create(
      EntrySettings settings, Executor control, RandomGenerator random, PeerHandler handler) {
    List<Secret> secrets = settings.control().peerSecrets().stream().map(Secret::secret).toList();
    PeerSettings peers =
        PeerSettings.of(settings.name(), settings.host(), settings.peersPort(), secrets);
    return PeerNetwork.create(peers, PeerCodec.standard(), control, random)
        .onMessage(handler)
        .onEvent(PeerConnections::log);
  }

  void start() throws InterruptedException {
    if (network.isPresent()) {
      port = network.get().start();
    }
  }

  int port() {
    return port;
  }

  /** Connects to the listed instances and leaves all others. */
  void updateInstances(List<InstanceRecord> instances) {
    if (network.isEmpty()) {
      return;
    }
    List<PeerAddress> addresses = new ArrayList<>();
    for (InstanceRecord instance : instances) {
      addresses.add(new PeerAddress(instance.name(), instance.host(), instance.peersPort()));
    }
    network.get().updatePeers(addresses);
  }

  @Override
  public void send(String instance, PeerMessage message) {
    network.ifPresent(peers -> peers.send(instance, message));
  }

  List<PeerStatus> statuses() {
    return network.map(PeerNetwork::statuses).orElse(List.of());
  }

  @Override
  public void close() {
    network.ifPresent(PeerNetwork::close);
  }

  private static void log(PeerEvent event) {
    switch (event) {
      case PeerEvent.Connected connected ->
          Logger.info("event=peer-connected peer={}", connected.peer());
      case PeerEvent.Disconnected ended ->
          Logger.info(
              "event=peer-disconnected peer={} reason=\"{}\"", ended.peer(), ended.reason());
      case PeerEvent.Rejected rejected ->
          Logger.warn(
              "event=peer-rejected peer={} reason=\"{}\"", rejected.peer(), rejected.reason());
    }
  }
}
