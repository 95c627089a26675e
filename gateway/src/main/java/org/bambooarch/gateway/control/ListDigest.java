package org.bambooarch.gateway.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.gateway.spi.ControlChange;

/**
 * Hash of a list's content as the store has it, by which instances find out that they know the same
 * list. The order of the changes that led to the content does not matter.
 *
 * <p>Used on the event loop only.
 */
final class ListDigest {

  private static final String CONFIGURATION = "configuration";

  private final Map<String, Long> hashByEntry = new HashMap<>();
  private long sum;

  /** Replaces the content by a full list. */
  void replace(List<ControlChange> fullList) {
    hashByEntry.clear();
    sum = 0;
    fullList.forEach(this::apply);
  }

  /** Applies one change to the content. */
  void apply(ControlChange change) {
    switch (change) {
      case ControlChange.ConfigurationChanged changed ->
          put(CONFIGURATION, Long.toString(changed.config().version()));
      case ControlChange.ConfigurationRemoved removed -> remove(CONFIGURATION);
      case ControlChange.DataCentreClosed closed -> put("closed/" + closed.dataCentre(), "");
      case ControlChange.DataCentreReopened reopened -> remove("closed/" + reopened.dataCentre());
      case ControlChange.ServerListed(ServerEntry server) ->
          put("server/" + server.id(), lasting(server));
      case ControlChange.ServerRemoved removed -> remove("server/" + removed.id());
      case ControlChange.InstanceListed listed -> put("instance/" + listed.instance().name(), "");
      case ControlChange.UnreadableEntry unreadable -> {
        if (unreadable.isConfiguration()) {
          put(CONFIGURATION, "unreadable");
        }
      }
    }
  }

  /** Returns what an entry says, without how long the server is still cold. */
  private static String lasting(ServerEntry server) {
    return String.join(
        " ",
        server.service(),
        server.host(),
        Integer.toString(server.port()),
        server.dataCentre(),
        Integer.toString(server.slots()),
        Boolean.toString(server.draining()),
        Long.toString(server.startWallMillis()));
  }

  private void put(String entry, String content) {
    long hash = Hashes.combine(Hashes.of(entry), Hashes.of(content));
    Long before = hashByEntry.put(entry, hash);
    sum += hash - (before == null ? 0 : before);
  }

  private void remove(String entry) {
    Long before = hashByEntry.remove(entry);
    sum -= before == null ? 0 : before;
  }

  /** Returns the hash; equal for equal contents. */
  long value() {
    return sum;
  }
}
