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

/** Names are well formed and unique; regions and data centres share one namespace. */
final class NameCheck implements Check {

  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    UniqueValues places = new UniqueValues("name of a region or data centre", findings);
    names(draft.regions(), Region::name, places, findings);
    names(draft.dataCentres(), DataCentre::name, places, findings);
    UniqueValues services = new UniqueValues("service name", findings);
    names(draft.services(), Service::name, services, findings);
    UniqueValues servers = new UniqueValues("server name", findings);
    names(draft.servers(), Server::name, servers, findings);
    UniqueValues customers = new UniqueValues("customer name", findings);
    names(draft.customers(), Customer::name, customers, findings);
    routeNames(draft, findings);
    drains(draft, findings);
  }

  private static <T> void names(
      List<Located<T>> entries, Function<T, String> nameOf, UniqueValues unique, Findings findings) {
    for (Located<T> entry : entries) {
      name(nameOf.apply(entry.value()), entry.location().child("name"), unique, findings);
    }
  }

  private static void name(String name, Location location, UniqueValues unique, Findings findings) {
    if (!name.isEmpty() && !NAME.matcher(name).matches()) {
      findings.add(invalidName(location, name));
    }
    unique.add(name, location);
  }

  private static void routeNames(InventoryDraft draft, Findings findings) {
    for (Located<Service> service : draft.services()) {
      UniqueValues unique = new UniqueValues("route name in its service", findings);
      Location routes = service.location().child("routes");
      int index = 0;
      for (Route route : service.value().routes()) {
        name(route.name(), routes.child(index).child("name"), unique, findings);
        index++;
      }
    }
  }

  private static void drains(InventoryDraft draft, Findings findings) {
    UniqueValues unique = new UniqueValues("drain rule", findings);
    for (Located<DrainRule> rule : draft.drains()) {
      String name = rule.value().name();
      if (!name.isEmpty() && !NAME.matcher(name).matches()) {
        findings.add(invalidName(rule.location().child("name"), name));
      }
      unique.add(name.isEmpty() ? "" : rule.value().kind() + " " + name, rule.location());
    }
  }
}
