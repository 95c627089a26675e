package org.bambooarch.core.config.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.bambooarch.core.config.ReplicationMember;

/**
 * Elects the readers of a data centre by rendezvous hashing.
 *
 * <p>Each instance has a fixed score, and those with the lowest scores are the readers. Instances
 * with different views of the membership therefore disagree on few readers only, and an additional
 * reader does no harm. Method: Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", 1998.
 */
public final class ReaderElection {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private ReaderElection() {}

  /** Returns the readers of a data centre, at most the given count, lowest score first. */
  public static List<String> readers(
      Collection<ReplicationMember> members, String dataCentre, int count) {
    return members.stream()
        .filter(member -> member.dataCentre().equals(dataCentre))
        .map(ReplicationMember::instance)
        .sorted(
            Comparator.comparingLong((String instance) -> score(dataCentre, instance))
                .thenComparing(Comparator.naturalOrder()))
        .limit(count)
        .toList();
  }

  private static long score(String dataCentre, String instance) {
    long hash = FNV_OFFSET;
    for (byte each : (dataCentre + '/' + instance).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ each) * FNV_PRIME;
    }
    // The finalizer of SplitMix64 gives unrelated scores to names that differ in their last letter.
    hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
    return hash ^ (hash >>> 31);
  }
}
