package org.bambooarch.core.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A signed amount of one resource's rate and capacity.
 *
 * @param resource name of the resource
 * @param rateUnits units of the rate
 * @param capacityUnits units of the burst, full and empty together
 */
public record ShareBalance(String resource, long rateUnits, long capacityUnits) {

  /** Returns the sum of this and another balance of the same resource. */
  public ShareBalance plus(ShareBalance other) {
    return new ShareBalance(
        resource, rateUnits + other.rateUnits, capacityUnits + other.capacityUnits);
  }

  /** Returns the sums of both lists per resource, ordered by name, without those that are zero. */
  public static List<ShareBalance> sum(List<ShareBalance> some, List<ShareBalance> others) {
    Map<String, ShareBalance> sums = new TreeMap<>();
    for (ShareBalance balance : some) {
      sums.merge(balance.resource(), balance, ShareBalance::plus);
    }
    for (ShareBalance balance : others) {
      sums.merge(balance.resource(), balance, ShareBalance::plus);
    }
    sums.values().removeIf(sum -> sum.rateUnits() == 0 && sum.capacityUnits() == 0);
    return List.copyOf(sums.values());
  }

  /** Returns the balances with the opposite sign. */
  public static List<ShareBalance> negated(List<ShareBalance> balances) {
    List<ShareBalance> negated = new ArrayList<>();
    for (ShareBalance balance : balances) {
      negated.add(
          new ShareBalance(balance.resource(), -balance.rateUnits(), -balance.capacityUnits()));
    }
    return negated;
  }
}
