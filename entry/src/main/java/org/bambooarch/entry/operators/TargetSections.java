package org.bambooarch.entry.operators;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.routing.TargetChooser;

/** The section of a state dump about target servers. */
final class TargetSections {

  private TargetSections() {}

  /**
   * One target server from the viewpoint of this instance.
   *
   * @param server name of the server
   * @param inFlight requests of this instance that are in flight to the server
   * @param limit most requests that this instance may have in flight to the server; 0 if the server
   *     is not in use
   * @param ejected whether the server is temporarily not chosen because of failures
   */
  record TargetSection(String server, int inFlight, int limit, boolean ejected) {}

  static List<TargetSection> of(TargetChooser chooser) {
    List<TargetSection> sections = new ArrayList<>();
    List<Server> servers = chooser.table().servers();
    for (int index = 0; index < servers.size(); index++) {
      sections.add(
          new TargetSection(
              servers.get(index).name(),
              chooser.inFlight(index),
              chooser.limit(index),
              chooser.isEjected(index)));
    }
    return sections;
  }
}
