package org.bambooarch.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Three members: the tested one, the coordinator of a reclaim, and one that the coordinator holds
 * for dead.
 */
class FleetBudgetsLeaseTest {

  private static final MemberId SELF = new MemberId("entry-b", 1);
  private static final MemberId COORDINATOR = new MemberId("entry-a", 1);
  private static final MemberId SILENT = new MemberId("entry-c", 1);

  private final ManualClock clock = ManualClock.startingAtZero();
  private final List<BudgetMessage> sent = new ArrayList<>();
  private FleetBudgets budgets;

  @BeforeEach
  void joinEpochOfThreeMembers() {
    budgets =
        FleetBudgets.starting(
            SELF,
            BudgetSettings.defaults(),
            clock,
            new SplittableRandom(1),
            (to, message) -> sent.add((BudgetMessage) message),
            new UnansweringStore());
    ShareEpoch epoch =
        ShareEpoch.initial(COORDINATOR, "1").withJoined(SELF, "2").withJoined(SILENT, "3");
    budgets.onMessage(new BudgetMessage.EpochNotice(COORDINATOR, SELF, epoch));
    receiveReport(SILENT, 1, false);
    receiveReport(COORDINATOR, 1, false);
  }

  @Test
  void should_renew_the_lease_of_a_member_when_its_report_was_received() {
    // when
    clock.advanceMillis(50);
    budgets.tick();
    // then
    assertThat(lastReportTo(SILENT).renewsLease()).isTrue();
    assertThat(lastReportTo(SILENT).echoNanos()).isEqualTo(1);
  }

  @Test
  void should_stop_renewing_the_lease_when_the_ledger_with_the_member_was_closed() {
    // given
    clock.advanceMillis(3_000);
    budgets.onMessage(closeLedgerOfSilent());
    // when
    receiveReport(SILENT, 2, false);
    clock.advanceMillis(50);
    budgets.tick();
    // then
    assertThat(sent).anyMatch(message -> message instanceof BudgetMessage.LedgerClosed);
    assertThat(lastReportTo(SILENT).renewsLease()).isFalse();
    assertThat(lastReportTo(SILENT).echoed()).isFalse();
  }

  @Test
  void should_refuse_to_close_the_ledger_when_a_report_of_the_member_was_received_recently() {
    // given
    clock.advanceMillis(3_000);
    receiveReport(SILENT, 2, false);
    // when
    budgets.onMessage(closeLedgerOfSilent());
    // then
    assertThat(sent).noneMatch(message -> message instanceof BudgetMessage.LedgerClosed);
  }

  @Test
  void should_become_ready_when_more_than_half_of_the_members_renewed_the_lease() {
    // given
    clock.advanceMillis(50);
    budgets.tick();
    boolean readyBefore = budgets.isReady();
    // when
    receiveReport(COORDINATOR, 2, true);
    budgets.tick();
    // then
    assertThat(readyBefore).isFalse();
    assertThat(budgets.isReady()).isTrue();
  }

  @Test
  void should_refuse_requests_when_the_lease_has_expired() {
    // given
    budgets.configure(List.of(new BudgetResource("kerala", 100, 100)));
    clock.advanceMillis(50);
    budgets.tick();
    receiveReport(COORDINATOR, 2, true);
    budgets.tick();
    // when
    clock.advanceMillis(2_100);
    // then
    assertThat(budgets.tryAdmit("kerala", 1)).isEqualTo(BudgetDecision.NOT_CONFIRMED);
  }

  private void receiveReport(MemberId from, long stampNanos, boolean renewsLease) {
    budgets.onMessage(
        new BudgetMessage.ShareReport(
            from,
            SELF,
            3,
            stampNanos,
            clock.monotonicNanos(),
            renewsLease,
            renewsLease,
            false,
            false,
            false,
            List.of()));
  }

  private static BudgetMessage closeLedgerOfSilent() {
    return new BudgetMessage.CloseLedger(COORDINATOR, SELF, 3, "p", List.of(SILENT));
  }

  private BudgetMessage.ShareReport lastReportTo(MemberId receiver) {
    BudgetMessage.ShareReport last = null;
    for (BudgetMessage message : sent) {
      if (message instanceof BudgetMessage.ShareReport report && report.to().equals(receiver)) {
        last = report;
      }
    }
    return last;
  }

  private static final class UnansweringStore implements ShareEpochStore {

    @Override
    public void startRead(long startedNanos) {}

    @Override
    public void startCompareAndSet(long expectedEpoch, ShareEpoch next) {}
  }
}
