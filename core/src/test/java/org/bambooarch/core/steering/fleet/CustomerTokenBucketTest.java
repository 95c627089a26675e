package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CustomerTokenBucketTest {

  private static final long HEARTBEAT_NANOS = FleetTable.HEARTBEAT_NANOS;

  private final CustomerTokenBucket bucket = new CustomerTokenBucket(5, 0);

  @Test
  void should_merge_unconfirmed_reports_without_loss_when_the_list_of_instances_is_never_read() {
    bucket.setShare(new CustomerTokenBucket.Share(0, 1, 1_000, 0, 100), 0);
    int admitted = 0;
    for (int heartbeat = 0; heartbeat < 1_000; heartbeat++) {
      admitted += bucket.tryTake(0, heartbeat * HEARTBEAT_NANOS) ? 1 : 0;
      bucket.recordReport(heartbeat * HEARTBEAT_NANOS);
    }
    assertThat(bucket.unconfirmedReportCount())
        .isEqualTo(CustomerTokenBucket.MAX_UNCONFIRMED_REPORTS);
    assertThat(admitted).isEqualTo(100);
  }
}
