package org.bambooarch.core.steering.place;

import java.util.List;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Decides which instances own a server, that is, may send requests to it where all instances
 * together must keep to a rate.
 *
 * <p>The owners are chosen by rendezvous hashing from the instances of the server's region, or of
 * all regions if the server's region has none. Instances whose views of the fleet differ may choose
 * different owners for a short time.
 */
public final class ServerOwners {

  private final InstanceIdentity self;
  private List<InstanceIdentity> otherInstances = List.of();

  /** Creates the owners as seen by an instance that knows no others yet. */
  public ServerOwners(InstanceIdentity self) {
    this.self = self;
  }

  /** Replaces the other instances that may be owners. */
  public void onOtherInstances(List<InstanceIdentity> instances) {
    otherInstances = List.copyOf(instances);
  }

  /** Returns the number of instances from which the owners of the server are chosen. */
  int candidateCount(ServerState server) {
    boolean anyInRegion = hasInstanceInRegionOf(server);
    int candidates = isCandidate(self, server, anyInRegion) ? 1 : 0;
    for (InstanceIdentity other : otherInstances) {
      candidates += isCandidate(other, server, anyInRegion) ? 1 : 0;
    }
    return candidates;
  }

  /** Returns whether this instance is one of that many owners of the server. */
  boolean isOwner(ServerState server, int owners) {
    boolean anyInRegion = hasInstanceInRegionOf(server);
    if (!isCandidate(self, server, anyInRegion)) {
      return false;
    }
    int higherRanked = 0;
    long ownScore = score(self, server);
    for (InstanceIdentity other : otherInstances) {
      if (isCandidate(other, server, anyInRegion)
          && Long.compareUnsigned(score(other, server), ownScore) > 0) {
        higherRanked++;
      }
    }
    return higherRanked < owners;
  }

  private boolean hasInstanceInRegionOf(ServerState server) {
    return self.region().equals(server.region())
        || otherInstances.stream().anyMatch(other -> other.region().equals(server.region()));
  }

  private static boolean isCandidate(
      InstanceIdentity instance, ServerState server, boolean anyInRegion) {
    return !anyInRegion || instance.region().equals(server.region());
  }

  private static long score(InstanceIdentity instance, ServerState server) {
    return server.rendezvousScore(Hashes.of(instance.name()));
  }
}
