package org.bambooarch.core.config.internal;

import java.util.Optional;
import org.bambooarch.core.config.ConfigMessage.SnapshotPart;

/** Puts the parts of one snapshot together. */
public final class SnapshotDownload {

  private static final int MAX_CHARS = 32 * 1024 * 1024;

  private String source = "";
  private long version;
  private StringBuilder text = new StringBuilder();
  private int totalChars;

  /** Adds a part; a first part starts anew, a part that does not fit is ignored. */
  public void add(String fromInstance, SnapshotPart part) {
    if (part.totalChars() > MAX_CHARS) {
      return;
    }
    if (part.offsetChars() == 0 && text.isEmpty()) {
      source = fromInstance;
      version = part.version();
      totalChars = part.totalChars();
    }
    boolean fits =
        source.equals(fromInstance)
            && version == part.version()
            && part.offsetChars() == text.length()
            && text.length() + part.text().length() <= totalChars;
    if (fits) {
      text.append(part.text());
    }
  }

  /** Returns the whole text once it is there, and starts anew. */
  public Optional<String> takeCompleted() {
    if (text.isEmpty() || text.length() < totalChars) {
      return Optional.empty();
    }
    String whole = text.toString();
    reset();
    return Optional.of(whole);
  }

  /** Forgets the parts so far, for instance because their source has gone. */
  public void reset() {
    source = "";
    version = 0;
    totalChars = 0;
    text = new StringBuilder();
  }

  /** Returns whether parts are still missing. */
  public boolean isInProgress() {
    return !text.isEmpty();
  }

  /** Returns the instance that sends the parts. */
  public String source() {
    return source;
  }

  /** Returns the version of the snapshot. */
  public long version() {
    return version;
  }

  /** Returns the position of the next part. */
  public int nextOffsetChars() {
    return text.length();
  }
}
