package org.bambooarch.gateway.request;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.observability.LogWord;

/** The regions that may serve one request, and those that it was last sent to, for the log. */
final class RequestPlaces {

  private final Supplier<HomeRegions> homesNow;
  private final String selfRegion;
  private HomeRegions homes;
  private Optional<String> serverRegion = Optional.empty();
  private Optional<String> relayRegion = Optional.empty();

  /**
   * Creates the places of a request that was sent nowhere.
   *
   * @param homesNow returns the regions that may serve the request by the configuration in force
   * @param selfRegion region of this instance
   */
  RequestPlaces(Supplier<HomeRegions> homesNow, String selfRegion) {
    this.homesNow = homesNow;
    this.homes = homesNow.get();
    this.selfRegion = selfRegion;
  }

  /** Records the server and the relay of an attempt, and the homes, as they are now. */
  void onChosen(ServerState server, Optional<InstanceIdentity> relay) {
    homes = homesNow.get();
    serverRegion = Optional.of(server.region());
    relayRegion = relay.map(InstanceIdentity::region);
  }

  /** Returns whether the server or the relay of the last attempt is in a region that is no home. */
  boolean areOutsideHomes() {
    return serverRegion.filter(region -> !homes.permits(region)).isPresent()
        || relayRegion.filter(region -> !homes.permits(region)).isPresent();
  }

  /**
   * Returns fields of a log line: the region of the server, that of the relay if there is one, and
   * the homes with the region of this instance, unless all regions are homes.
   */
  String describe() {
    return "server-region="
        + serverRegion.map(LogWord::of).orElse("-")
        + relayRegion.map(region -> " relay-region=" + LogWord.of(region)).orElse("")
        + describeHomes();
  }

  private String describeHomes() {
    return switch (homes) {
      case HomeRegions.All all -> "";
      case HomeRegions.Only(Set<String> regions) ->
          " homes=%s self-region=%s"
              .formatted(
                  regions.isEmpty() ? "-" : String.join(",", new TreeSet<>(regions)), selfRegion);
    };
  }
}
