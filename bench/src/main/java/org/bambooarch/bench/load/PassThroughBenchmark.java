package org.bambooarch.bench.load;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.ArrayList;
import java.util.List;
import org.bambooarch.bench.load.ClosedLoopLoadGenerator.LoadResult;
import org.bambooarch.standin.StandinTarget;

/**
 * Compares the throughput of an entry instance with that of a plain Armeria proxy in front of the
 * same targets, in one run.
 *
 * <p>Run it with {@code bin/bench pass-through}. Each round measures both, in alternating order.
 * The result is the median over the rounds of the ratio of the instance's requests per second to
 * the proxy's.
 */
public final class PassThroughBenchmark {

  private static final int TARGETS = 6;
  private static final long EXPECTED_ANSWER_BYTES = 200;
  private static final int IN_FLIGHT = 64;
  private static final int WARM_UP_REQUESTS = 60_000;
  private static final int REQUESTS = 60_000;
  private static final int ROUNDS = 7;

  private PassThroughBenchmark() {}

  /** Warms both up, then prints one line for each round and the median ratio. */
  public static void main(String[] args) throws Exception {
    List<StandinTarget> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(StandinTarget.startOn("target-" + i, BenchmarkEntryInstance.HOST, 0));
    }
    List<Integer> ports = targets.stream().map(StandinTarget::port).toList();
    try (PassThroughProxy baseline = PassThroughProxy.startOn(BenchmarkEntryInstance.HOST, ports);
        BenchmarkEntryInstance entry =
            BenchmarkEntryInstance.startInFrontOf(ports, EXPECTED_ANSWER_BYTES)) {
      compare(baseline.port(), entry.port());
    }
    targets.forEach(StandinTarget::close);
  }

  private static void compare(int baselinePort, int entryPort) throws InterruptedException {
    generateLoad(baselinePort, WARM_UP_REQUESTS);
    generateLoad(entryPort, WARM_UP_REQUESTS);
    List<Double> ratios = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      boolean baselineFirst = round % 2 == 0;
      LoadResult first = generateLoad(baselineFirst ? baselinePort : entryPort, REQUESTS);
      LoadResult second = generateLoad(baselineFirst ? entryPort : baselinePort, REQUESTS);
      LoadResult baseline = baselineFirst ? first : second;
      LoadResult entry = baselineFirst ? second : first;
      double ratio = entry.requestsPerSecond() / baseline.requestsPerSecond();
      ratios.add(ratio);
      print(round, baseline, entry, ratio);
    }
    ratios.sort(Double::compare);
    System.out.printf("medianRatio=%.3f target=0.800%n", ratios.get(ROUNDS / 2));
  }

  private static void print(int round, LoadResult baseline, LoadResult entry, double ratio) {
    System.out.printf(
        "round=%d baselinePerSecond=%.0f baselineP50Micros=%d baselineP99Micros=%d"
            + " entryPerSecond=%.0f entryP50Micros=%d entryP99Micros=%d entryFailed=%d"
            + " ratio=%.3f%n",
        round,
        baseline.requestsPerSecond(),
        baseline.p50Micros(),
        baseline.p99Micros(),
        entry.requestsPerSecond(),
        entry.p50Micros(),
        entry.p99Micros(),
        entry.failed(),
        ratio);
  }

  private static LoadResult generateLoad(int port, int requests) throws InterruptedException {
    WebClient client = WebClient.of("http://" + BenchmarkEntryInstance.HOST + ":" + port);
    RequestHeaders headers =
        RequestHeaders.of(
            HttpMethod.GET,
            BenchmarkEntryInstance.PATH,
            "authorization",
            "Bearer " + BenchmarkEntryInstance.KEY);
    return new ClosedLoopLoadGenerator(client, headers, IN_FLIGHT, requests).run();
  }
}
