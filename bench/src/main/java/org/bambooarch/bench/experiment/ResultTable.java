package org.bambooarch.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.bambooarch.core.inventory.PriorityClass;

/** Rows of measures as text and CSV. */
final class ResultTable {

  private static final int AGGRESSOR = 3;
  private static final double PERCENT = 100;
  private static final List<String> COLUMNS =
      List.of(
          "case",
          "policy",
          "counter p50 ms",
          "counter p99 ms",
          "browse p99 ms",
          "bulk p99 ms",
          "worst customer p99 ms",
          "refused %",
          "unreachable",
          "failed %",
          "worst unserved %",
          "shed %",
          "region peak %",
          "link peak %",
          "windows over cap",
          "drain s");

  private final List<List<String>> rows = new ArrayList<>();

  void add(Scenario scenario, Policy policy, Results results) {
    int withoutCustomer = scenario.aggressorFactor() > 1 ? AGGRESSOR : -1;
    rows.add(
        List.of(
            scenario.name(),
            policy.label(),
            decimal(results.millis(PriorityClass.COUNTER, 50)),
            decimal(results.millis(PriorityClass.COUNTER, 99)),
            decimal(results.millis(PriorityClass.BROWSE, 99)),
            decimal(results.millis(PriorityClass.BULK, 99)),
            decimal(results.worstCustomerMillis(withoutCustomer)),
            precise(results.refusedPercent()),
            Long.toString(results.unreachable),
            precise(results.failedPercent()),
            precise(results.worstUnservedPercent()),
            precise(results.shedPercent()),
            decimal(PERCENT * results.peakRegionShare),
            decimal(PERCENT * results.peakLinkShare),
            Integer.toString(results.windowsOverCap),
            Double.isNaN(results.drainSeconds) ? "-" : precise(results.drainSeconds)));
  }

  String csv() {
    StringBuilder text = new StringBuilder(String.join(",", COLUMNS)).append('\n');
    for (List<String> row : rows) {
      text.append(String.join(",", row)).append('\n');
    }
    return text.toString();
  }

  String markdown() {
    StringBuilder text = new StringBuilder();
    text.append("| ").append(String.join(" | ", COLUMNS)).append(" |\n");
    text.append("|---|---|").append("---:|".repeat(COLUMNS.size() - 2)).append('\n');
    for (List<String> row : rows) {
      text.append("| ").append(String.join(" | ", row)).append(" |\n");
    }
    return text.toString();
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  private static String precise(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
