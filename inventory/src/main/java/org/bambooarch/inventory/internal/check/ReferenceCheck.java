package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.NameErrors.unresolvedReference;
import static org.bambooarch.inventory.error.NameErrors.missingRequiredEntry;

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

/** Every name that refers to another entry finds it. */
final class ReferenceCheck implements Check {

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    Set<String> regions = names(draft.regions(), Region::name);
    Set<String> dataCentres = names(draft.dataCentres(), DataCentre::name);
    Set<String> services = names(draft.services(), Service::name);
    for (Located<DataCentre> row : draft.dataCentres()) {
      refer(row.where().child("region"), "region", row.value().region(), regions, findings);
    }
    for (Located<Server> row : draft.servers()) {
      refer(row.where().child("service"), "service", row.value().service(), services, findings);
      String dataCentre = row.value().dataCentre();
      refer(row.where().child("dataCentre"), "data centre", dataCentre, dataCentres, findings);
    }
    for (Located<ClientBlock> row : draft.clientBlocks()) {
      String dataCentre = row.value().dataCentre();
      refer(row.where().child("dataCentre"), "data centre", dataCentre, dataCentres, findings);
    }
    drains(draft, regions, dataCentres, findings);
    unusedServices(draft, findings);
  }

  /** Names of instances are not checked: the platform lists them and not the inventory. */
  private static void drains(
      InventoryDraft draft, Set<String> regions, Set<String> dataCentres, Findings findings) {
    Map<DrainRule.Kind, Set<String>> known =
        Map.of(
            DrainRule.Kind.REGION, regions,
            DrainRule.Kind.DATA_CENTRE, dataCentres,
            DrainRule.Kind.SERVER, names(draft.servers(), Server::name));
    for (Located<DrainRule> row : draft.drains()) {
      DrainRule.Kind kind = row.value().kind();
      if (known.containsKey(kind)) {
        String label = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        refer(row.where().child("name"), label, row.value().name(), known.get(kind), findings);
      }
    }
  }

  /** A file of servers that cannot be read would make every service look unused. */
  private static void unusedServices(InventoryDraft draft, Findings findings) {
    if (draft.servers().isEmpty()) {
      return;
    }
    Set<String> used = names(draft.servers(), Server::service);
    for (Located<Service> row : draft.services()) {
      String name = row.value().name();
      if (!name.isEmpty() && !used.contains(name)) {
        findings.add(missingRequiredEntry(row.where(), "service", name, "server"));
      }
    }
  }

  private static <T> Set<String> names(List<Located<T>> rows, Function<T, String> nameOf) {
    Set<String> names = new HashSet<>();
    for (Located<T> row : rows) {
      names.add(nameOf.apply(row.value()));
    }
    return names;
  }

  private static void refer(
      Location where, String kind, String name, Set<String> known, Findings findings) {
    if (!name.isEmpty() && !known.contains(name)) {
      findings.add(unresolvedReference(where, kind, name));
    }
  }
}
