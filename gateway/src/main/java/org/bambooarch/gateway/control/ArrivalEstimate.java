package org.bambooarch.gateway.control;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.channel.Channel;
import java.util.OptionalLong;

/**
 * Tells for how long a request has been unread when the event loop reads it.
 *
 * <p>The operating system tells when the last data of the connection arrived. For a request without
 * a body that is when the request arrived. If the head of another request, or data of another
 * stream of the connection, has arrived behind it, it is older than that; this cannot be told.
 * While the event loop keeps its schedule, nothing is unread for long, and nothing is asked.
 *
 * <p>Used on the event loop only.
 */
public final class ArrivalEstimate {

  private final ControlState state;
  private final DataAge dataAge;

  /** Creates an estimate that asks {@code dataAge} while the event loop is late. */
  public ArrivalEstimate(ControlState state, DataAge dataAge) {
    this.state = state;
    this.dataAge = dataAge;
  }

  /**
   * Returns for how long a request that is read now has been unread, in nanoseconds.
   *
   * @param multiplexed whether the connection carries several requests at a time, as with HTTP/2
   */
  public long unreadNanos(Channel channel, RequestHeaders headers, boolean multiplexed) {
    long lagNanos = state.eventLoopLagNanos();
    if (!state.isEventLoopLate()) {
      return lagNanos;
    }
    OptionalLong sinceDataNanos = dataAge.sinceLastDataNanos(channel);
    if (sinceDataNanos.isEmpty()) {
      return lagNanos;
    }
    // The last data may belong to the body or to another request, and the head may be older.
    boolean headIsLast = !multiplexed && hasNoBody(headers);
    return headIsLast ? sinceDataNanos.getAsLong() : Math.max(lagNanos, sinceDataNanos.getAsLong());
  }

  private static boolean hasNoBody(RequestHeaders headers) {
    return headers.contentLength() <= 0 && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
