package org.bambooarch.entry.operators;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.routing.TargetChooser;

/** The sections of a state dump about target servers. */
final class TargetSections {

  private TargetSections() {}

  /**
   * One target server as this instance sees it.
   *
   * @param server name of the server
   * @param inFlight requests of this instance that run there
   * @param limit requests that this instance may have there; 0 if the server is not in use
   * @param ejected whether it is out of use for its failures
   */
  record TargetSection(String server, int inFlight, int limit, boolean ejected) {}

  static List<TargetSection> of(TargetChooser chooser) {
    List<TargetSection> sections = new ArrayList<>();
    List<Server> servers = chooser.table().servers();
    for (int row = 0; row < servers.size(); row++) {
      sections.add(
          new TargetSection(
              servers.get(row).name(),
              chooser.inFlight(row),
              chooser.limit(row),
              chooser.isEjected(row)));
    }
    return sections;
  }
}
