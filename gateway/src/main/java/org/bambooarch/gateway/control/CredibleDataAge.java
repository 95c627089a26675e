package org.bambooarch.gateway.control;

import io.netty.channel.Channel;
import java.util.OptionalLong;

/**
 * Passes on what a source tells once it has told of data that did not arrive just now. A system
 * that emulates sockets may answer each question with 0 and know nothing; it is not asked for long.
 *
 * <p>Used on the event loop only.
 */
public final class CredibleDataAge implements DataAge {

  /** Number of answers of 0 after which the source is not asked again. */
  static final int MAX_ZERO_ANSWERS = 64;

  private final DataAge source;
  private boolean credible;
  private int zeroAnswers;

  /** Creates a filter of what {@code source} tells. */
  public CredibleDataAge(DataAge source) {
    this.source = source;
  }

  @Override
  public OptionalLong sinceLastDataNanos(Channel channel) {
    if (!credible && zeroAnswers >= MAX_ZERO_ANSWERS) {
      return OptionalLong.empty();
    }
    OptionalLong sinceDataNanos = source.sinceLastDataNanos(channel);
    if (sinceDataNanos.orElse(0) > 0) {
      credible = true;
    } else if (!credible) {
      zeroAnswers++;
      return OptionalLong.empty();
    }
    return sinceDataNanos;
  }
}
