package lab2;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Clients behind a link of 7 Mbit/s receive answers while their instance is stopped by SIGTERM. The
 * server is done with each of them at once, and all could be delivered well within the grace
 * period.
 */
public final class SlowDownload {

  /** Bodies of the answers: one size for each client, since the buffers of systems differ. */
  private static final int FIRST_ANSWER_BYTES = 100_000;

  private static final int ANSWER_STEP_BYTES = 15_000;
  private static final int INSTANCES = 12;

  /** The smallest {@code link_mbps} of a machine of the site, for the clients of an instance. */
  private static final int LINK_BYTES_PER_SECOND = 7_000_000 / 8;

  private static final int CLIENTS = 3;

  /** Some clients use an answer of the directory for three times its {@code ttl} of 2 s. */
  private static final long REQUESTS_AFTER_MILLIS = 2_600;

  private static final long REQUEST_GAP_MILLIS = 20;

  private static final long GRACE_MILLIS = 6_000;

  /** The {@code gap_s} of {@code roll_term} in the site file, one machine at a time. */
  private static final long GAP_MILLIS = 1_300;

  /** The segment size of an Ethernet, as clients on other machines have it (TCP_MAXSEG). */
  private static final ChannelOption<Integer> SEGMENT_BYTES =
      new IntegerUnixChannelOption("TCP_MAXSEG", 6, 2);

  private SlowDownload() {}

  public static void main(String[] args) {
    Lab.run(args[0], SlowDownload::play);
  }

  private static boolean play(Lab lab) throws Exception {
    if (!Epoll.isAvailable()) {
      throw new Lab.CannotRun("epoll is needed for small segments");
    }
    lab.configure(1, Lab.route("/books/", "unsafe", "ledger", 20_000, 1), Lab.service("ledger"));
    Backend backend = new Backend("i-ledger", lab.newHost(), (server, socket, in) -> {
      while (true) {
        Lab.Message request = Lab.readMessage(in, true);
        if (!request.complete()) {
          return;
        }
        String id = request.header("Request-Id");
        int bytes = Integer.parseInt(request.start().split("[/ ]")[3]);
        Lab.send(socket, Backend.head(200, id, "Content-Length: " + bytes + "\r\n"));
        socket.getOutputStream().write(new byte[bytes]);
        lab.log("server ran request=" + id + " and sent its whole answer");
      }
    });
    lab.listServer(backend, "ledger", "kochi-a", 64);
    List<Lab.Instance> entries = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      entries.add(lab.instance("front-kochi-a-" + (i + 1), "kochi-a"));
    }
    for (Lab.Instance entry : entries) {
      entry.awaitReady();
      lab.call(entry.host, entry.frontPort, "GET", "/books/1000", "first-" + entry.name, 5_000, "");
    }
    // It stays, so that the others need not wait for a successor.
    lab.instance("front-kochi-b-1", "kochi-b").awaitReady();
    Thread.sleep(2000);
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, EpollIoHandler.newFactory());
    List<Stop> stops = new ArrayList<>();
    long firstMillis = lab.millis() + 500;
    for (int i = 0; i < INSTANCES; i++) {
      Stop stop = new Stop(lab, entries.get(i), firstMillis + i * GAP_MILLIS);
      int bytes = FIRST_ANSWER_BYTES + i * CLIENTS * ANSWER_STEP_BYTES;
      stop.thread = Thread.ofPlatform().start(() -> stop.play(bytes, loops));
      stops.add(stop);
    }
    int cut = 0;
    for (Stop stop : stops) {
      stop.thread.join();
      cut += stop.cut;
      if (stop.lastMillis > GRACE_MILLIS - 500) {
        throw new Lab.CannotRun("the clients are too slow for the grace period");
      }
    }
    lab.log("answers cut=" + cut + " of " + INSTANCES * CLIENTS);
    return cut == 0;
  }

  /** The stop of one instance, and the requests that it still takes. */
  private static final class Stop {

    private final Lab lab;
    private final Lab.Instance entry;
    private final long signalMillis;
    private Thread thread;
    private int cut;
    private long lastMillis = Long.MAX_VALUE;

    private Stop(Lab lab, Lab.Instance entry, long signalMillis) {
      this.lab = lab;
      this.entry = entry;
      this.signalMillis = signalMillis;
    }

    private void play(int bytes, EventLoopGroup loops) {
      try {
        lab.sleepUntil(signalMillis);
        if (lab.trouble) {
          entry.terminate();
        }
        lab.sleepUntil(signalMillis + REQUESTS_AFTER_MILLIS);
        List<Download> downloads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          lab.sleepUntil(signalMillis + REQUESTS_AFTER_MILLIS + i * REQUEST_GAP_MILLIS);
          int length = bytes + i * ANSWER_STEP_BYTES;
          downloads.add(new Download(lab, entry, "slow-" + length / 1000, length, loops));
        }
        for (Download download : downloads) {
          download.ended.await(20, TimeUnit.SECONDS);
          cut += download.isCut() ? 1 : 0;
        }
        lastMillis = lab.millis() - signalMillis;
        lab.log("last answer of " + entry.name + " ended " + lastMillis + " ms after the signal");
        if (lab.trouble) {
          entry.awaitEnd(8000);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** One client; reads its share of the link's bandwidth. */
  private static final class Download extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int PART_BYTES = 4096;

    private final Lab lab;
    private final String id;
    private final int length;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final StringBuilder head = new StringBuilder();
    private volatile int received;
    private volatile int status;
    private boolean headRead;
    private long startNanos;

    private Download(
        Lab lab, Lab.Instance entry, String id, int length, EventLoopGroup loops) {
      this.lab = lab;
      this.id = id;
      this.length = length;
      new Bootstrap()
          .group(loops)
          .channel(EpollSocketChannel.class)
          .option(SEGMENT_BYTES, 1460)
          .option(ChannelOption.SO_RCVBUF, 32 * 1024)
          .option(ChannelOption.AUTO_READ, false)
          .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(PART_BYTES))
          .handler(this)
          .connect(entry.host, entry.frontPort);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      context.writeAndFlush(Unpooled.copiedBuffer(
          Lab.requestHead("GET", "/books/" + length, id, 20_000, ""), StandardCharsets.ISO_8859_1));
      context.read();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
      while (!headRead && bytes.isReadable()) {
        head.append((char) bytes.readByte());
        if (head.toString().endsWith("\r\n\r\n")) {
          headRead = true;
          status = Integer.parseInt(head.substring(9, 12));
          lab.log("client request=" + id + " got " + head.substring(0, head.indexOf("\r\n")));
          startNanos = System.nanoTime();
        }
      }
      received += bytes.readableBytes();
      if (received >= length) {
        end(context, "complete");
        return;
      }
      long dueNanos = startNanos
          + received * 1_000_000_000L / (LINK_BYTES_PER_SECOND / CLIENTS);
      context.executor().schedule(() -> context.read(),
          Math.max(0, dueNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    /** Returns whether the request had a success that the client got only a part of. */
    private boolean isCut() {
      return status == 200 && received < length;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      end(context, "connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      end(context, cause.toString());
    }

    private void end(ChannelHandlerContext context, String how) {
      if (ended.getCount() > 0) {
        lab.log("client request=" + id + " received=" + received + " of " + length
            + " end=" + how);
        ended.countDown();
        context.close();
      }
    }
  }
}
