package org.bambooarch.gateway.bodypath;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The instance's end of a connection, whose other end is a {@link Peer}. As with a socket, what the
 * peer wrote stays in the channel while reading is off, and what the instance writes while the peer
 * does not read.
 */
final class SimulatedChannel extends AbstractChannel {

  /** The other end. */
  interface Peer {

    /** The instance opens the connection; it stays pending until the peer ends that. */
    void onConnect(SocketAddress remote);

    /** Bytes of the instance arrived; the peer must release them. */
    void onBytes(ByteBuf bytes);

    /** The instance has read what the peer wrote with one call. */
    void onRead();
  }

  private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);
  private static final SocketAddress LOCAL = new InetSocketAddress("10.0.0.99", 1);

  private final ChannelConfig config = new DefaultChannelConfig(this);
  private final Deque<ByteBuf> unread = new ArrayDeque<>();
  private final Peer peer;
  private ChannelPromise connecting;
  private SocketAddress remote = LOCAL;
  private boolean connected;
  private boolean closed;
  private boolean readPending;
  private boolean readScheduled;
  private boolean endOfInput;
  private boolean peerSlow;
  private int permittedWrites;

  SimulatedChannel(Peer peer) {
    super(null);
    this.peer = peer;
  }

  /** Makes the channel one that was accepted. */
  void accept() {
    connected = true;
  }

  boolean isConnecting() {
    return connecting != null;
  }

  void connectNow() {
    ChannelPromise promise = connecting;
    connecting = null;
    connected = true;
    boolean wanted = promise.trySuccess();
    pipeline().fireChannelActive();
    if (!wanted) {
      close();
    }
  }

  void failConnect(Throwable cause) {
    ChannelPromise promise = connecting;
    connecting = null;
    promise.tryFailure(cause);
    close();
  }

  boolean isPeerSlow() {
    return peerSlow;
  }

  /** Lets the peer read nothing by itself from now on, or all again. */
  void peerSlow(boolean slow) {
    peerSlow = slow;
    if (!slow) {
      unsafe().flush();
    }
  }

  boolean holdsWrites() {
    ChannelOutboundBuffer buffer = unsafe().outboundBuffer();
    return peerSlow && buffer != null && !buffer.isEmpty();
  }

  /** Lets a slow peer read one write. */
  void passWrite() {
    permittedWrites = 1;
    unsafe().flush();
    permittedWrites = 0;
  }

  boolean hasUnread() {
    return !unread.isEmpty();
  }

  void writeFromPeer(ByteBuf bytes) {
    unread.addLast(bytes);
    scheduleRead();
  }

  /** Ends the input after what was written before. */
  void endInput() {
    endOfInput = true;
    scheduleRead();
  }

  /** Resets the connection; what was not read is lost. */
  void reset(Throwable cause) {
    pipeline().fireExceptionCaught(cause);
    close();
  }

  private void scheduleRead() {
    if (!readScheduled && isRegistered()) {
      readScheduled = true;
      eventLoop().execute(this::readNow);
    }
  }

  private void readNow() {
    readScheduled = false;
    if (!readPending || !config.isAutoRead() || closed) {
      return;
    }
    if (unread.isEmpty()) {
      if (endOfInput) {
        endOfInput = false;
        // What a channel with half-closure does, which the decoder of responses asks for.
        pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
      return;
    }
    readPending = false;
    int reads = 0;
    do {
      ByteBuf bytes = unread.pollFirst();
      peer.onRead();
      pipeline().fireChannelRead(bytes);
      reads++;
    } while (!unread.isEmpty()
        && config.isAutoRead()
        && reads < METADATA.defaultMaxMessagesPerRead());
    pipeline().fireChannelReadComplete();
  }

  @Override
  protected AbstractUnsafe newUnsafe() {
    return new AbstractUnsafe() {
      @Override
      public void connect(
          SocketAddress remoteAddress, SocketAddress localAddress, ChannelPromise promise) {
        remote = remoteAddress;
        connecting = promise;
        promise.addListener(
            future -> {
              if (future.isCancelled()) {
                connecting = null;
                close(voidPromise());
              }
            });
        peer.onConnect(remoteAddress);
      }
    };
  }

  @Override
  protected boolean isCompatible(EventLoop loop) {
    return true;
  }

  @Override
  protected SocketAddress localAddress0() {
    return LOCAL;
  }

  @Override
  protected SocketAddress remoteAddress0() {
    return remote;
  }

  @Override
  protected void doBind(SocketAddress localAddress) {}

  @Override
  protected void doDisconnect() {
    doClose();
  }

  @Override
  protected void doClose() {
    closed = true;
    unread.forEach(ByteBuf::release);
    unread.clear();
    if (connecting != null) {
      ChannelPromise promise = connecting;
      connecting = null;
      promise.tryFailure(new java.nio.channels.ClosedChannelException());
    }
  }

  @Override
  protected void doBeginRead() {
    readPending = true;
    scheduleRead();
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer buffer) {
    while (!buffer.isEmpty() && (!peerSlow || permittedWrites-- > 0)) {
      peer.onBytes(((ByteBuf) buffer.current()).retain());
      buffer.remove();
    }
  }

  @Override
  public ChannelConfig config() {
    return config;
  }

  @Override
  public boolean isOpen() {
    return !closed;
  }

  @Override
  public boolean isActive() {
    return connected && !closed;
  }

  @Override
  public ChannelMetadata metadata() {
    return METADATA;
  }

  @Override
  public Channel parent() {
    return null;
  }
}
