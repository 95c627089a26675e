package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.api.Test;

class ListProgressTest {

  private static final long MILLI = 1_000_000L;

  /** Time of the store's clock when that of the instances is 0. */
  private static final long STORE_START_MILLIS = 10_000;

  private final ListProgress progress = new ListProgress(0);
  private final ListProgress other = new ListProgress(0);

  private static ControlChange listed(String id, boolean draining, long coldLeftMillis) {
    return new ControlChange.ServerListed(
        new ServerEntry(id, "shop", "10.0.0.1", 80, "north-a", 4, draining, coldLeftMillis, 1));
  }

  private static void read(
      ListProgress reader, long version, long millis, ControlChange... changes) {
    ControlUpdate update =
        new ControlUpdate(0, version, version, STORE_START_MILLIS + millis, List.of(changes));
    update.changes().forEach(reader::onApplied);
    reader.onRead(Topic.SERVERS, update, millis * MILLI, millis * MILLI);
  }

  private void hearAt(long millis) {
    progress.onReported(other.own(), millis * MILLI);
  }

  private long ageMillisAt(long millis) {
    return progress.ageNanos(Topic.SERVERS, millis * MILLI) / MILLI;
  }

  @Test
  void should_count_a_list_as_confirmed_at_the_time_at_which_another_instance_asked_the_store() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 7, 0, listed("a", false, 0));
    read(other, 9, 800);
    hearAt(1_000);

    assertThat(ageMillisAt(1_000)).isEqualTo(200);
    assertThat(progress.isBehind(Topic.SERVERS)).isTrue();
  }

  @Test
  void should_not_count_a_list_as_confirmed_when_the_other_instance_knows_other_content() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 7, 0, listed("a", false, 0));
    read(other, 8, 800, listed("a", true, 0));
    hearAt(1_000);

    assertThat(ageMillisAt(1_000)).isEqualTo(1_000);
    assertThat(progress.behindNanos(Topic.SERVERS, 1_300 * MILLI)).isEqualTo(300 * MILLI);
  }

  @Test
  void should_take_lists_for_equal_when_their_changes_came_in_another_order() {
    read(progress, 7, 0, listed("a", false, 0), listed("b", false, 900));
    read(other, 5, 0, listed("b", true, 0));
    read(other, 6, 0, listed("c", false, 0), listed("b", false, 100));
    read(other, 7, 900, listed("a", false, 0), new ControlChange.ServerRemoved("c"));
    hearAt(1_000);

    assertThat(ageMillisAt(1_000)).isEqualTo(100);
  }

  @Test
  void should_not_tell_others_of_an_earlier_confirmation_when_the_content_has_changed_since() {
    read(other, 7, 0, listed("a", false, 0));
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 7, 900);
    hearAt(950);
    read(progress, 8, 400, listed("a", true, 0));

    ListStatus own = progress.own().servers();
    assertThat(own.confirmedStoreMillis()).isEqualTo(STORE_START_MILLIS + 400);
  }

  @Test
  void should_not_count_a_list_as_confirmed_by_what_was_reported_of_another_era() {
    read(progress, 7, 0, listed("a", false, 0));
    ListStatus own = progress.own().servers();
    ListStatus later = new ListStatus(2, own.digest(), STORE_START_MILLIS + 900);
    progress.onReported(new ListVersions(1, ListStatus.NONE, later), 1_000 * MILLI);

    assertThat(ageMillisAt(1_000)).isEqualTo(1_000);
    assertThat(progress.isBehind(Topic.SERVERS)).isTrue();
  }

  @Test
  void should_tell_when_the_store_first_responded_to_an_instance_with_other_content() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 8, 3_000, new ControlChange.ServerRemoved("a"));
    hearAt(3_050);
    read(other, 8, 4_000);
    hearAt(4_050);
    assertThat(progress.confirmedForOthersNanos(Topic.SERVERS)).hasValue(3_000 * MILLI);

    read(progress, 8, 4_100, new ControlChange.ServerRemoved("a"));
    assertThat(progress.confirmedForOthersNanos(Topic.SERVERS)).isEmpty();
  }

  // Incident CONFIG after a silence: an instance went on by a list although the store had told
  // others of a newer one seconds before.
  @Test
  void should_be_overdue_by_the_time_since_which_the_store_confirms_other_content_to_others() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 7, 0, listed("a", false, 0));
    read(other, 8, 500, listed("a", true, 0));
    hearAt(600);
    read(other, 8, 1_900);
    hearAt(2_000);

    assertThat(progress.overdueMillis(Topic.SERVERS)).isEqualTo(1_400);
  }

  @Test
  void should_not_be_overdue_when_the_store_confirms_the_same_content_to_others() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 7, 0, listed("a", false, 0));
    read(other, 9, 1_900);
    hearAt(2_000);

    assertThat(progress.overdueMillis(Topic.SERVERS)).isZero();
  }

  // An outage of the store must not stop requests at the instances that a change has not reached.
  @Test
  void should_not_become_more_overdue_while_the_store_responds_to_nobody() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 7, 0, listed("a", false, 0));
    read(other, 8, 500, listed("a", true, 0));
    hearAt(600);
    hearAt(9_000);

    assertThat(progress.overdueMillis(Topic.SERVERS)).isZero();
  }

  // After an outage all instances but the first would refuse requests until they hear of the store.
  @Test
  void should_be_overdue_no_sooner_than_others_have_known_more_when_the_store_is_back() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 7, 0, listed("a", false, 0));
    read(other, 8, 6_000, listed("a", true, 0));
    hearAt(6_100);
    assertThat(progress.overdueMillis(Topic.SERVERS)).isZero();

    read(other, 8, 6_700);
    hearAt(6_800);
    assertThat(progress.overdueMillis(Topic.SERVERS)).isEqualTo(700);
  }

  // A late response must not hide that others have known more since.
  @Test
  void should_stay_overdue_when_a_late_response_confirms_an_earlier_state() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 8, 500, listed("a", true, 0));
    hearAt(600);
    read(progress, 7, 400);
    read(other, 8, 1_900);
    hearAt(2_000);

    assertThat(progress.overdueMillis(Topic.SERVERS)).isEqualTo(1_400);
  }

  @Test
  void should_no_longer_be_overdue_when_it_has_read_the_list() {
    read(progress, 7, 0, listed("a", false, 0));
    read(other, 8, 500, listed("a", true, 0));
    hearAt(600);
    read(other, 8, 1_900);
    hearAt(2_000);
    read(progress, 8, 2_100, listed("a", true, 0));

    assertThat(progress.overdueMillis(Topic.SERVERS)).isZero();
  }

  // Times of the store before and after its return from an older copy cannot be compared.
  @Test
  void should_not_be_overdue_when_the_others_know_another_era_of_the_store() {
    read(progress, 7, 0, listed("a", false, 0));
    other.onRead(
        Topic.SERVERS,
        new ControlUpdate(1, 3, 3, STORE_START_MILLIS + 1_900, List.of()),
        1_900 * MILLI,
        1_900 * MILLI);
    hearAt(2_000);

    assertThat(progress.overdueMillis(Topic.SERVERS)).isZero();
  }
}
