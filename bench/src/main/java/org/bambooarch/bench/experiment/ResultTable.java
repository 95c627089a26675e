package org.bambooarch.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.bambooarch.core.inventory.PriorityClass;

/** The results of all runs, one row for each scenario and policy, as Markdown or CSV. */
final class ResultTable {

  private static final int AGGRESSOR_INDEX = 3;
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
    int withoutCustomer = scenario.aggressorDemandFactor() > 1 ? AGGRESSOR_INDEX : -1;
    rows.add(
        List.of(
            scenario.name(),
            policy.label(),
            oneDecimal(results.latencyMillis(PriorityClass.COUNTER, 50)),
            oneDecimal(results.latencyMillis(PriorityClass.COUNTER, 99)),
            oneDecimal(results.latencyMillis(PriorityClass.BROWSE, 99)),
            oneDecimal(results.latencyMillis(PriorityClass.BULK, 99)),
            oneDecimal(results.worstCustomerP99Millis(withoutCustomer)),
            threeDecimals(results.refusedPercent()),
            Long.toString(results.unreachable),
            threeDecimals(results.failedPercent()),
            threeDecimals(results.worstUnservedPercent()),
            threeDecimals(results.shedPercent()),
            oneDecimal(PERCENT * results.peakRegionUtilization),
            oneDecimal(PERCENT * results.peakLinkUtilization),
            Integer.toString(results.windowsOverCap),
            Double.isNaN(results.drainSeconds) ? "-" : threeDecimals(results.drainSeconds)));
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

  private static String oneDecimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  private static String threeDecimals(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
