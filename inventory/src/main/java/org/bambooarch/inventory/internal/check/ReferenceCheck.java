package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.NameErrors.missingRequiredEntry;
import static org.bambooarch.inventory.error.NameErrors.unresolvedReference;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.bambooarch.core.inventory.ClientBlock;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;
import org.bambooarch.inventory.internal.read.InventoryDraft;
import org.bambooarch.inventory.internal.read.Located;

/**
 * Checks that every entry to which another entry refers by name exists, and that every service has
 * a server. The regions of links are checked by {@link LinkCheck}.
 */
final class ReferenceCheck implements Check {

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    Set<String> regions = names(draft.regions(), Region::name);
    Set<String> dataCentres = names(draft.dataCentres(), DataCentre::name);
    Set<String> services = names(draft.services(), Service::name);
    for (Located<DataCentre> entry : draft.dataCentres()) {
      checkReference(
          entry.location().child("region"), "region", entry.value().region(), regions, findings);
    }
    for (Located<Server> entry : draft.servers()) {
      checkReference(
          entry.location().child("service"),
          "service",
          entry.value().service(),
          services,
          findings);
      String dataCentre = entry.value().dataCentre();
      checkReference(
          entry.location().child("dataCentre"), "data centre", dataCentre, dataCentres, findings);
    }
    for (Located<ClientBlock> entry : draft.clientBlocks()) {
      String dataCentre = entry.value().dataCentre();
      checkReference(
          entry.location().child("dataCentre"), "data centre", dataCentre, dataCentres, findings);
    }
    checkDrainRules(draft, regions, dataCentres, findings);
    reportServicesWithoutServer(draft, findings);
  }

  /** Does not check the names of instances, because the platform lists them, not the inventory. */
  private static void checkDrainRules(
      InventoryDraft draft, Set<String> regions, Set<String> dataCentres, Findings findings) {
    Map<DrainRule.Kind, Set<String>> knownNames =
        Map.of(
            DrainRule.Kind.REGION, regions,
            DrainRule.Kind.DATA_CENTRE, dataCentres,
            DrainRule.Kind.SERVER, names(draft.servers(), Server::name));
    for (Located<DrainRule> entry : draft.drains()) {
      DrainRule.Kind kind = entry.value().kind();
      if (knownNames.containsKey(kind)) {
        String kindText = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        checkReference(
            entry.location().child("name"),
            kindText,
            entry.value().name(),
            knownNames.get(kind),
            findings);
      }
    }
  }

  /**
   * Reports nothing if there are no servers at all: if the servers file cannot be read, every
   * service would otherwise be reported.
   */
  private static void reportServicesWithoutServer(InventoryDraft draft, Findings findings) {
    if (draft.servers().isEmpty()) {
      return;
    }
    Set<String> servicesWithServer = names(draft.servers(), Server::service);
    for (Located<Service> entry : draft.services()) {
      String name = entry.value().name();
      if (!name.isEmpty() && !servicesWithServer.contains(name)) {
        findings.add(missingRequiredEntry(entry.location(), "service", name, "server"));
      }
    }
  }

  private static <T> Set<String> names(List<Located<T>> entries, Function<T, String> nameOf) {
    Set<String> names = new HashSet<>();
    for (Located<T> entry : entries) {
      names.add(nameOf.apply(entry.value()));
    }
    return names;
  }

  private static void checkReference(
      Location location, String kind, String name, Set<String> knownNames, Findings findings) {
    if (!name.isEmpty() && !knownNames.contains(name)) {
      findings.add(unresolvedReference(location, kind, name));
    }
  }
}
