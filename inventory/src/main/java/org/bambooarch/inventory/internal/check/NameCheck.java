package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.ValueErrors.invalidName;

import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;
import org.bambooarch.inventory.internal.read.InventoryDraft;
import org.bambooarch.inventory.internal.read.Located;

/**
 * Checks that names are well formed and unique. Regions and data centres share one namespace; route
 * names are unique within their service; drain rules are unique by kind and name.
 */
final class NameCheck implements Check {

  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    UniqueValues places = new UniqueValues("name of a region or data centre", findings);
    checkNames(draft.regions(), Region::name, places, findings);
    checkNames(draft.dataCentres(), DataCentre::name, places, findings);
    UniqueValues services = new UniqueValues("service name", findings);
    checkNames(draft.services(), Service::name, services, findings);
    UniqueValues servers = new UniqueValues("server name", findings);
    checkNames(draft.servers(), Server::name, servers, findings);
    UniqueValues customers = new UniqueValues("customer name", findings);
    checkNames(draft.customers(), Customer::name, customers, findings);
    checkRouteNames(draft, findings);
    checkDrainRules(draft, findings);
  }

  private static <T> void checkNames(
      List<Located<T>> entries,
      Function<T, String> nameOf,
      UniqueValues uniqueNames,
      Findings findings) {
    for (Located<T> entry : entries) {
      checkName(nameOf.apply(entry.value()), entry.location().child("name"), uniqueNames, findings);
    }
  }

  private static void checkName(
      String name, Location location, UniqueValues uniqueNames, Findings findings) {
    if (!name.isEmpty() && !NAME.matcher(name).matches()) {
      findings.add(invalidName(location, name));
    }
    uniqueNames.add(name, location);
  }

  private static void checkRouteNames(InventoryDraft draft, Findings findings) {
    for (Located<Service> service : draft.services()) {
      UniqueValues uniqueNames = new UniqueValues("route name within the service", findings);
      Location routes = service.location().child("routes");
      int index = 0;
      for (Route route : service.value().routes()) {
        checkName(route.name(), routes.child(index).child("name"), uniqueNames, findings);
        index++;
      }
    }
  }

  private static void checkDrainRules(InventoryDraft draft, Findings findings) {
    UniqueValues uniqueNames = new UniqueValues("drain rule", findings);
    for (Located<DrainRule> entry : draft.drains()) {
      String name = entry.value().name();
      if (!name.isEmpty() && !NAME.matcher(name).matches()) {
        findings.add(invalidName(entry.location().child("name"), name));
      }
      uniqueNames.add(name.isEmpty() ? "" : entry.value().kind() + " " + name, entry.location());
    }
  }
}
