package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** What a request to a server waits for, and what prevents it from being sent. */
class SendGateTest {

  private static final double SERVICE_NANOS = 200_000_000.0;

  private final ManualClock clock = ManualClock.startingAtZero();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeOwner owner = new FakeOwner();

  private static final class FakeOwner implements SendGate.Owner {
    private final List<String> events = new ArrayList<>();
    private boolean finished;
    private boolean mayRun = true;

    @Override
    public boolean isFinished() {
      return finished;
    }

    @Override
    public double serviceNanos() {
      return SERVICE_NANOS;
    }

    @Override
    public boolean mayRun() {
      return mayRun;
    }

    @Override
    public void onRefused(SendGate.Refusal refusal) {
      events.add("refused " + refusal);
    }
  }

  private void pass(long timeoutMillis) {
    new SendGate(
            channel.eventLoop(),
            clock,
            RequestTime.of(clock.monotonicNanos(), timeoutMillis),
            owner)
        .pass(() -> owner.events.add("sent"), () -> owner.events.add("not sent"));
  }

  private void runTurn() {
    channel.runScheduledPendingTasks();
  }

  @Test
  void should_send_nothing_before_the_event_loop_has_read_again() {
    pass(1_000);
    assertThat(owner.events).isEmpty();

    channel.runPendingTasks();
    runTurn();

    assertThat(owner.events).containsExactly("sent");
  }

  @Test
  void should_let_the_event_loop_read_once_more_when_its_turn_took_long() {
    pass(1_000);
    channel
        .eventLoop()
        .execute(
            () -> {
              clock.advanceMillis(300);
              channel.eventLoop().schedule(() -> owner.finished = true, 0, TimeUnit.NANOSECONDS);
            });

    channel.runPendingTasks();
    runTurn();

    assertThat(owner.events).containsExactly("not sent", "refused ENDED");
  }

  @Test
  void should_refuse_when_the_request_has_ended_while_it_waited() {
    pass(1_000);
    owner.finished = true;

    channel.runPendingTasks();

    assertThat(owner.events).containsExactly("not sent", "refused ENDED");
  }

  @Test
  void should_refuse_when_a_server_could_not_respond_in_the_time_that_is_left() {
    pass(1_000);
    clock.advanceMillis(901);

    channel.runPendingTasks();

    assertThat(owner.events).containsExactly("not sent", "refused TOO_LATE");
  }

  @Test
  void should_send_a_request_whose_client_waits_for_less_than_a_server_usually_needs() {
    pass(50);

    channel.runPendingTasks();

    assertThat(owner.events).containsExactly("sent");
  }

  @Test
  void should_refuse_when_the_request_must_not_run() {
    pass(1_000);
    owner.mayRun = false;

    channel.runPendingTasks();

    assertThat(owner.events).containsExactly("not sent", "refused FORBIDDEN");
  }
}
