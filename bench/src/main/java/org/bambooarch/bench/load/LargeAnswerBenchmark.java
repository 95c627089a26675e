package org.bambooarch.bench.load;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Streams one answer of 1 GiB through an entry instance and counts the bytes that arrive, to check
 * that the instance does not hold an answer in memory.
 *
 * <p>Run it with {@code bin/bench large-answer}, which limits the heap of the process to 256 MB;
 * the target and the caller run in the same process.
 */
public final class LargeAnswerBenchmark {

  private static final long ANSWER_BYTES = 1L << 30;
  private static final int CHUNK_BYTES = 64 * 1024;
  private static final long TIMEOUT_SECONDS = 20;
  private static final double BYTES_PER_MIB = 1 << 20;

  private LargeAnswerBenchmark() {}

  /**
   * Streams the answer once and prints the bytes that arrived, the heap limit and the throughput.
   * Exits with status 1 if bytes are missing; throws if the answer takes longer than 20 s.
   */
  public static void main(String[] args) throws Exception {
    Server target =
        Server.builder()
            .http(new InetSocketAddress(BenchmarkEntryInstance.HOST, 0))
            .requestTimeoutMillis(0)
            .service("prefix:/", (context, request) -> streamAnswer(request.headers()))
            .build();
    target.start().join();
    try (BenchmarkEntryInstance entry =
        BenchmarkEntryInstance.startInFrontOf(List.of(target.activeLocalPort()), ANSWER_BYTES)) {
      long startNanos = System.nanoTime();
      long receivedBytes = countAnswerBytes(entry.port());
      double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
      System.out.printf(
          "expectedBytes=%d arrivedBytes=%d maxHeapMiB=%.0f mibPerSecond=%.0f%n",
          ANSWER_BYTES,
          receivedBytes,
          Runtime.getRuntime().maxMemory() / BYTES_PER_MIB,
          receivedBytes / BYTES_PER_MIB / elapsedSeconds);
      if (receivedBytes != ANSWER_BYTES) {
        System.exit(1);
      }
    }
    target.stop().join();
    System.exit(0);
  }

  private static long countAnswerBytes(int port) throws Exception {
    WebClient client =
        WebClient.builder("http://" + BenchmarkEntryInstance.HOST + ":" + port)
            .maxResponseLength(0)
            .responseTimeoutMillis(0)
            .build();
    RequestHeaders headers =
        RequestHeaders.of(
            HttpMethod.GET,
            BenchmarkEntryInstance.PATH,
            "authorization",
            "Bearer " + BenchmarkEntryInstance.KEY);
    AtomicLong receivedBytes = new AtomicLong();
    HttpResponse answer = client.execute(headers);
    answer.subscribe(new ByteCounter(receivedBytes));
    answer.whenComplete().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return receivedBytes.get();
  }

  private static HttpResponse streamAnswer(RequestHeaders request) {
    HttpResponseWriter writer = HttpResponse.streaming();
    writer.write(
        ResponseHeaders.builder(HttpStatus.OK)
            .contentLength(ANSWER_BYTES)
            .add("x-request-id", request.get("x-request-id", ""))
            .build());
    writeChunksFrom(writer, 0);
    return writer;
  }

  private static void writeChunksFrom(HttpResponseWriter writer, long sentBytes) {
    if (sentBytes >= ANSWER_BYTES) {
      writer.close();
      return;
    }
    writer.write(HttpData.wrap(new byte[CHUNK_BYTES]));
    writer.whenConsumed().thenRun(() -> writeChunksFrom(writer, sentBytes + CHUNK_BYTES));
  }

  /** Counts body bytes; requests the next part after each one, as back-pressure on the sender. */
  private static final class ByteCounter implements Subscriber<HttpObject> {

    private final AtomicLong bytes;
    private Subscription subscription;

    private ByteCounter(AtomicLong bytes) {
      this.bytes = bytes;
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
      subscription = newSubscription;
      subscription.request(1);
    }

    @Override
    public void onNext(HttpObject part) {
      if (part instanceof HttpData data) {
        bytes.addAndGet(data.length());
        data.close();
      }
      subscription.request(1);
    }

    @Override
    public void onError(Throwable cause) {}

    @Override
    public void onComplete() {}
  }
}
