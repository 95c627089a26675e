package org.bambooarch.gateway.control;

import java.util.EnumMap;
import java.util.Map;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;

/**
 * How far this instance has followed the store's lists, and how far others have. An instance is
 * behind if another one knows a change of a later version than all that it has read itself.
 *
 * <p>Used on the event loop only.
 */
final class ListProgress {

  private final Map<Topic, Long> readUpTo = new EnumMap<>(Topic.class);
  private final Map<Topic, Long> newestChange = new EnumMap<>(Topic.class);
  private final Map<Topic, Long> newestChangeOfOthers = new EnumMap<>(Topic.class);
  private long era;
  private long eraOfOthers;

  /** Records a response that holds a full list or its changes. */
  void onRead(Topic topic, ControlUpdate update) {
    if (update.storeEra() > era) {
      era = update.storeEra();
      readUpTo.clear();
      newestChange.clear();
    }
    readUpTo.merge(topic, update.version(), Math::max);
    newestChange.merge(topic, update.newestChange(), Math::max);
  }

  /** Records what another instance reports. */
  void onReported(ListVersions others) {
    if (others.storeEra() < eraOfOthers) {
      return;
    }
    if (others.storeEra() > eraOfOthers) {
      eraOfOthers = others.storeEra();
      newestChangeOfOthers.clear();
    }
    newestChangeOfOthers.merge(Topic.OPERATOR, others.operatorsChange(), Math::max);
    newestChangeOfOthers.merge(Topic.SERVERS, others.serversChange(), Math::max);
  }

  /** Returns whether another instance knows a change of a list that this one has not read. */
  boolean isBehind(Topic topic) {
    if (eraOfOthers != era) {
      return eraOfOthers > era;
    }
    return newestChangeOfOthers.getOrDefault(topic, 0L) > readUpTo.getOrDefault(topic, 0L);
  }

  /** Returns what this instance reports to the others. */
  ListVersions own() {
    return new ListVersions(
        era,
        newestChange.getOrDefault(Topic.OPERATOR, 0L),
        newestChange.getOrDefault(Topic.SERVERS, 0L));
  }
}
