package org.bambooarch.gateway.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.stream.Collectors;

/** How the attempts of one request went, for the log. Used on the event loop only. */
final class AttemptTraces {

  /** Largest number of attempts that are named; the ones before are counted. */
  static final int MAX_NAMED = 6;

  private final Deque<AttemptTrace> traces = new ArrayDeque<>(2);
  private int unnamed;
  private boolean unnamedSent;

  /** Adds an attempt that begins now. */
  void add(AttemptTrace trace) {
    if (traces.size() == MAX_NAMED) {
      unnamedSent |= traces.removeFirst().wasSent();
      unnamed++;
    }
    traces.addLast(trace);
  }

  /** Records how the last attempt ended, unless that is known already or there is none. */
  void onLastEnded(String ending) {
    if (!traces.isEmpty()) {
      traces.getLast().onEnded(ending);
    }
  }

  /** Returns whether the request was written to a server in an attempt before the last one. */
  boolean wasSentBeforeLast() {
    boolean sent = unnamedSent;
    Iterator<AttemptTrace> iterator = traces.iterator();
    while (iterator.hasNext() && !sent) {
      AttemptTrace trace = iterator.next();
      sent = iterator.hasNext() && trace.wasSent();
    }
    return sent;
  }

  /** Returns how many responses have been skipped on the connection of the last attempt. */
  long skippedByLast() {
    return traces.isEmpty() ? 0 : traces.getLast().skippedResponses();
  }

  /** Returns the attempts as key-value pairs, in the order in which they were made. */
  String describe() {
    if (traces.isEmpty()) {
      return "attempts=-";
    }
    String named = traces.stream().map(AttemptTrace::describe).collect(Collectors.joining(","));
    String earlier = unnamed == 0 ? "" : " earlier-attempts=" + unnamed;
    String skipped = skippedByLast() == 0 ? "" : " skipped-responses=" + skippedByLast();
    return "attempts=" + named + earlier + skipped;
  }
}
