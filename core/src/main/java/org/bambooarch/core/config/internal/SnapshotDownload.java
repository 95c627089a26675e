package org.bambooarch.core.config.internal;

import java.util.Optional;
import org.bambooarch.core.config.ConfigMessage.SnapshotPart;

/** Assembles a snapshot from the parts that one instance sends. */
public final class SnapshotDownload {

  private static final int MAX_CHARS = 32 * 1024 * 1024;

  private String source = "";
  private long version;
  private StringBuilder text = new StringBuilder();
  private int totalChars;

  /**
   * Adds a part. A first part starts a download if none is in progress. A part is ignored if it is
   * of another source or version, does not continue the text so far, or belongs to a snapshot of
   * more than {@value #MAX_CHARS} characters.
   */
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

  /** Returns the whole text and resets the download if it is complete; otherwise empty. */
  public Optional<String> takeCompleted() {
    if (text.isEmpty() || text.length() < totalChars) {
      return Optional.empty();
    }
    String whole = text.toString();
    reset();
    return Optional.of(whole);
  }

  /** Drops all parts, for example because their source has stopped. */
  public void reset() {
    source = "";
    version = 0;
    totalChars = 0;
    text = new StringBuilder();
  }

  /** Returns whether a download is in progress: some parts have arrived, others are missing. */
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

  /** Returns the index of the first character that is missing. */
  public int nextOffsetChars() {
    return text.length();
  }
}
