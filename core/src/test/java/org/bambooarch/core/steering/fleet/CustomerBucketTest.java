package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CustomerBucketTest {

  private static final long HEARTBEAT = FleetTable.HEARTBEAT_NANOS;

  private final CustomerBucket bucket = new CustomerBucket(5, 0);

  @Test
  void should_keep_few_reports_and_all_they_tell_when_the_list_of_instances_is_never_read() {
    bucket.divide(new CustomerBucket.Share(0, 1, 1_000, 0, 100), 0);
    int taken = 0;
    for (int beat = 0; beat < 1_000; beat++) {
      taken += bucket.tryTake(0, beat * HEARTBEAT) ? 1 : 0;
      bucket.report(beat * HEARTBEAT);
    }
    assertThat(bucket.unconfirmedReports()).isEqualTo(CustomerBucket.MAX_UNCONFIRMED);
    assertThat(taken).isEqualTo(100);
  }
}
