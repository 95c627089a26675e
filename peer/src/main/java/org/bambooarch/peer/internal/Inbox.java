package org.bambooarch.peer.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.peer.PeerCodec;
import org.bambooarch.peer.PeerMessageHandler;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;

/**
 * Decodes received messages and passes them to the control executor.
 *
 * <p>At most {@value #MAX_QUEUED_MESSAGES} messages of all peers wait there; further ones are
 * dropped and counted. May be called on any thread.
 */
public final class Inbox {

  private static final int MAX_QUEUED_MESSAGES = 10_000;

  private final PeerCodec codec;
  private final Executor controlExecutor;
  private final AtomicInteger queuedMessages = new AtomicInteger();
  private final LongAdder receivedMessages = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder unknownMessages = new LongAdder();
  private final LongAdder droppedMessages = new LongAdder();
  private volatile PeerMessageHandler handler = (fromInstance, message) -> {};

  /** Creates an inbox that passes messages to the given executor. */
  public Inbox(PeerCodec codec, Executor controlExecutor) {
    this.codec = codec;
    this.controlExecutor = controlExecutor;
  }

  /** Sets the handler of the messages; until then they are ignored. */
  public void setHandler(PeerMessageHandler newHandler) {
    handler = newHandler;
  }

  void countBytes(int bytes) {
    receivedBytes.add(bytes);
  }

  void receive(String fromInstance, Envelope envelope) {
    Optional<PeerMessage> message = codec.decode(envelope);
    if (message.isEmpty()) {
      unknownMessages.increment();
      return;
    }
    if (queuedMessages.incrementAndGet() > MAX_QUEUED_MESSAGES) {
      queuedMessages.decrementAndGet();
      droppedMessages.increment();
      return;
    }
    receivedMessages.increment();
    dispatch(fromInstance, message.get());
  }

  static Envelope parse(byte[] payload) throws InvalidProtocolBufferException {
    return Envelope.parseFrom(payload);
  }

  private void dispatch(String fromInstance, PeerMessage message) {
    try {
      controlExecutor.execute(
          () -> {
            queuedMessages.decrementAndGet();
            handler.onMessage(fromInstance, message);
          });
    } catch (RejectedExecutionException e) {
      queuedMessages.decrementAndGet();
      droppedMessages.increment();
    }
  }

  /** Returns the number of messages passed to the control executor. */
  public long receivedMessages() {
    return receivedMessages.sum();
  }

  /** Returns the bytes of all frames received after the handshake, with their length prefixes. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Returns the number of ignored messages, of types that this version does not know. */
  public long unknownMessages() {
    return unknownMessages.sum();
  }

  /**
   * Returns the number of messages dropped because too many were waiting for the control executor
   * or because it had shut down.
   */
  public long droppedMessages() {
    return droppedMessages.sum();
  }
}
