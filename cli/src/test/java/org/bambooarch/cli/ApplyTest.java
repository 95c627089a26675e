package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.standin.PlatformFaults;
import org.bambooarch.standin.StandinPlatform;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ApplyTest {

  private static final String SWATCHNET = "../examples/swatchnet";
  private static final String BLUE_MAHOE = "../examples/blue-mahoe";

  private static StandinPlatform platform;
  private final OperatorSession session = new OperatorSession();
  private String platformOption;

  @BeforeAll
  static void startPlatform() {
    platform = StandinPlatform.startOn("127.0.0.1", 0, 0, SystemClock.systemClock());
  }

  @AfterAll
  static void stopPlatform() {
    platform.close();
  }

  @BeforeEach
  void resetFaults() {
    platform.injectFaults(PlatformFaults.none());
    platformOption = " --platform http://127.0.0.1:" + platform.port();
  }

  @Test
  void should_accept_both_examples_when_the_expected_version_is_newest() {
    for (String example : List.of(SWATCHNET, BLUE_MAHOE)) {
      long before = acceptedVersion();
      assertThat(session.run("apply " + example + " --expect " + before + platformOption))
          .isEqualTo(ExitCode.DONE);
      assertThat(acceptedVersion()).isEqualTo(before + 1);
    }
  }

  @Test
  void should_accept_only_one_change_when_two_operators_apply_on_the_same_version()
      throws Exception {
    // given
    long before = acceptedVersion();
    OperatorSession first = new OperatorSession();
    OperatorSession second = new OperatorSession();
    Callable<ExitCode> anna =
        () ->
            first.run("apply " + SWATCHNET + " --author anna --expect " + before + platformOption);
    Callable<ExitCode> biju =
        () ->
            second.run(
                "apply " + BLUE_MAHOE + " --author biju --expect " + before + platformOption);
    // when
    List<Future<ExitCode>> results;
    try (ExecutorService threads = Executors.newFixedThreadPool(2)) {
      results = threads.invokeAll(List.of(anna, biju));
    }
    // then
    List<ExitCode> codes = List.of(results.get(0).get(), results.get(1).get());
    assertThat(codes).containsExactlyInAnyOrder(ExitCode.DONE, ExitCode.CONFLICT);
    boolean annaAccepted = codes.getFirst() == ExitCode.DONE;
    OperatorSession rejectedSession = annaAccepted ? second : first;
    assertThat(rejectedSession.lastOutput())
        .contains("conflict: expected version " + before)
        .contains(annaAccepted ? "by anna" : "by biju")
        .contains("nothing was changed");
    assertThat(acceptedVersion()).isEqualTo(before + 1);
  }

  @Test
  void should_report_the_accepted_version_when_the_answer_is_lost() {
    // given
    long before = acceptedVersion();
    platform.injectFaults(new PlatformFaults(false, 0, true));
    // when
    ExitCode exitCode = session.run("apply " + SWATCHNET + " --expect " + before + platformOption);
    // then
    platform.injectFaults(PlatformFaults.none());
    assertThat(exitCode).isEqualTo(ExitCode.DONE);
    assertThat(session.lastOutput())
        .contains("accepted as version " + (before + 1) + " (the answer was lost; read back)");
    assertThat(acceptedVersion()).isEqualTo(before + 1);
  }

  @Test
  void should_change_nothing_when_the_platform_is_down() {
    long before = acceptedVersion();
    platform.injectFaults(new PlatformFaults(true, 0, false));
    ExitCode exitCode = session.run("apply " + SWATCHNET + " --expect " + before + platformOption);
    platform.injectFaults(PlatformFaults.none());
    assertThat(exitCode).isEqualTo(ExitCode.UNREACHABLE);
    assertThat(session.lastOutput()).contains("nothing was changed");
    assertThat(acceptedVersion()).isEqualTo(before);
  }

  private long acceptedVersion() {
    OperatorSession reader = new OperatorSession();
    reader.run("plan " + SWATCHNET + platformOption);
    String output = reader.lastOutput();
    return Long.parseLong(output.substring(output.lastIndexOf(' ') + 1).strip());
  }
}
