package org.bambooarch.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An SVG bar chart with one bar for each scenario and policy. */
final class SvgPlot {

  private static final int BAR_HEIGHT = 9;
  private static final int GROUP_GAP = 10;
  private static final int LABEL_WIDTH = 210;
  private static final int BAR_WIDTH = 480;
  private static final int WIDTH = LABEL_WIDTH + BAR_WIDTH + 80;
  private static final int TOP = 50;
  private static final List<String> COLOURS =
      List.of("#1b7837", "#9970ab", "#f0a030", "#4393c3", "#888888");

  private record Bar(String group, Policy policy, double value) {}

  private final String title;
  private final List<Bar> bars = new ArrayList<>();

  SvgPlot(String title) {
    this.title = title;
  }

  void add(String group, Policy policy, double value) {
    bars.add(new Bar(group, policy, value));
  }

  String svg() {
    double max = bars.stream().mapToDouble(Bar::value).max().orElse(1);
    StringBuilder body = new StringBuilder();
    String group = "";
    int y = TOP;
    for (Bar bar : bars) {
      if (!bar.group().equals(group)) {
        group = bar.group();
        y += GROUP_GAP;
        body.append(text(5, y + BAR_HEIGHT, group));
      }
      int width = (int) Math.round(BAR_WIDTH * bar.value() / Math.max(max, 1e-9));
      body.append(rect(LABEL_WIDTH, y, width, COLOURS.get(bar.policy().ordinal())));
      String value = String.format(Locale.ROOT, "%.2f", bar.value());
      body.append(text(LABEL_WIDTH + width + 4, y + BAR_HEIGHT - 1, value));
      y += BAR_HEIGHT + 1;
    }
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">\n"
            .formatted(WIDTH, y + GROUP_GAP)
        + "<style>text{font:10px sans-serif}</style>\n"
        + text(5, 15, title)
        + legend()
        + body
        + "</svg>\n";
  }

  private static String legend() {
    StringBuilder legend = new StringBuilder();
    int x = 5;
    for (Policy policy : Policy.values()) {
      legend.append(rect(x, 25, 10, COLOURS.get(policy.ordinal())));
      legend.append(text(x + 14, 34, policy.label()));
      x += 130;
    }
    return legend.toString();
  }

  private static String rect(int x, int y, int width, String colour) {
    return "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>\n"
        .formatted(x, y, width, BAR_HEIGHT, colour);
  }

  private static String text(int x, int y, String text) {
    return "<text x=\"%d\" y=\"%d\">%s</text>\n".formatted(x, y, text);
  }
}
