package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CustomerTokenBucketTest {

  private static final long HEARTBEAT = FleetTable.HEARTBEAT_NANOS;

  private final CustomerTokenBucket bucket = new CustomerTokenBucket(5, 0);

  @Test
  void should_keep_few_reports_and_all_they_tell_when_the_list_of_instances_is_never_read() {
    bucket.setShare(new CustomerTokenBucket.Share(0, 1, 1_000, 0, 100), 0);
    int taken = 0;
    for (int beat = 0; beat < 1_000; beat++) {
      taken += bucket.tryTake(0, beat * HEARTBEAT) ? 1 : 0;
      bucket.recordReport(beat * HEARTBEAT);
    }
    assertThat(bucket.unconfirmedReportCount())
        .isEqualTo(CustomerTokenBucket.MAX_UNCONFIRMED_REPORTS);
    assertThat(taken).isEqualTo(100);
  }
}
