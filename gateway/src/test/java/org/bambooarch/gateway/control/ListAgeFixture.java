package org.bambooarch.gateway.control;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.random.RandomGenerator;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.spi.ControlStore;

/** How {@link ListAgeRun} creates the parts under test and asks whether they serve. */
final class ListAgeFixture {

  private ListAgeFixture() {}

  static StoreSynchronizer synchronizer(
      ControlStore store,
      ControlState state,
      EmbeddedChannel channel,
      RandomGenerator random,
      Runnable sendHeartbeats) {
    ListAgeBounds bounds =
        new ListAgeBounds(ListAgeRun.BOUND_MILLIS, ListAgeRun.BOUND_MILLIS, 3_000);
    return new StoreSynchronizer(store, state, channel.eventLoop(), random, bounds, sendHeartbeats);
  }

  static boolean serves(ControlState state) {
    return state.isReady();
  }
}
