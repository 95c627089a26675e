package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.LinkErrors.linkToItself;
import static org.bambooarch.inventory.error.LinkErrors.missingLink;
import static org.bambooarch.inventory.error.NameErrors.unresolvedReference;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;
import org.bambooarch.inventory.internal.read.InventoryDraft;
import org.bambooarch.inventory.internal.read.Located;

/**
 * Checks that each ordered pair of different regions has exactly one link, so that all traffic
 * between regions has a cap.
 */
final class LinkCheck implements Check {

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    Set<String> regions = new HashSet<>();
    for (Located<Region> region : draft.regions()) {
      regions.add(region.value().name());
    }
    UniqueValues uniqueDirections = new UniqueValues("link direction", findings);
    Set<String> presentDirections = new HashSet<>();
    for (Located<Link> entry : draft.links()) {
      checkRegions(entry, regions, findings);
      String direction = direction(entry.value().fromRegion(), entry.value().toRegion());
      uniqueDirections.add(direction, entry.location());
      presentDirections.add(direction);
    }
    reportMissingLinks(draft, presentDirections, findings);
  }

  private static void checkRegions(Located<Link> entry, Set<String> regions, Findings findings) {
    String from = entry.value().fromRegion();
    String to = entry.value().toRegion();
    if (!from.isEmpty() && from.equals(to)) {
      findings.add(linkToItself(entry.location(), from));
    }
    for (String name : List.of(from, to)) {
      if (!name.isEmpty() && !regions.contains(name)) {
        findings.add(unresolvedReference(entry.location(), "region", name));
      }
    }
  }

  private static void reportMissingLinks(
      InventoryDraft draft, Set<String> presentDirections, Findings findings) {
    for (Located<Region> from : draft.regions()) {
      for (Located<Region> to : draft.regions()) {
        String fromName = from.value().name();
        String toName = to.value().name();
        if (fromName.equals(toName) || fromName.isEmpty() || toName.isEmpty()) {
          continue;
        }
        if (!presentDirections.contains(direction(fromName, toName))) {
          Location links = Location.root(from.location().file()).child("links");
          findings.add(missingLink(links, fromName, toName));
        }
      }
    }
  }

  private static String direction(String from, String to) {
    return from + " -> " + to;
  }
}
