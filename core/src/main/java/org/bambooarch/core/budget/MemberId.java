package org.bambooarch.core.budget;

import java.util.Comparator;

/**
 * The identity of one run of one instance: a restarted instance is another member.
 *
 * @param name unique name of the instance
 * @param incarnation number of the run, higher for each later run of the same instance
 */
public record MemberId(String name, long incarnation) implements Comparable<MemberId> {

  private static final Comparator<MemberId> ORDER =
      Comparator.comparing(MemberId::name).thenComparingLong(MemberId::incarnation);

  /** Returns the identity of the next run of the same instance. */
  public MemberId nextRun() {
    return new MemberId(name, incarnation + 1);
  }

  /** Returns whether this is an earlier run of the same instance, which has therefore ended. */
  public boolean precedes(MemberId other) {
    return name.equals(other.name) && incarnation < other.incarnation;
  }

  @Override
  public int compareTo(MemberId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return name + "#" + incarnation;
  }
}
