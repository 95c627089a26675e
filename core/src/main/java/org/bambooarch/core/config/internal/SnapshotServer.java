package org.bambooarch.core.config.internal;

import org.bambooarch.core.config.ConfigMessage.SnapshotPart;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigText;

/** Gives snapshots to peers part by part; the text is written once and kept while it is young. */
public final class SnapshotServer {

  /** Most characters in one part; four bytes each still fit into a frame. */
  public static final int PART_CHARS = 12 * 1024;

  private final ConfigText text;
  private long version;
  private String snapshot;

  /** Creates the server. */
  public SnapshotServer(ConfigText text) {
    this.text = text;
  }

  /** Returns a part of a snapshot, or the first part of a newer one if it is no longer held. */
  public SnapshotPart part(ConfigState state, long wantedVersion, int offsetChars) {
    if (snapshot != null && wantedVersion == version && isInside(offsetChars)) {
      return cut(offsetChars);
    }
    return firstPart(state, wantedVersion);
  }

  /** Returns the first part of a snapshot whose version is at least the given one. */
  public SnapshotPart firstPart(ConfigState state, long minVersion) {
    boolean old = state.version() - version >= ChangeLog.KEPT_CHANGES || version < minVersion;
    if (snapshot == null || old) {
      version = state.version();
      snapshot = text.writeSnapshot(state);
    }
    return cut(0);
  }

  private boolean isInside(int offsetChars) {
    return offsetChars >= 0 && offsetChars < snapshot.length();
  }

  private SnapshotPart cut(int offsetChars) {
    int end = Math.min(snapshot.length(), offsetChars + PART_CHARS);
    if (end < snapshot.length() && Character.isHighSurrogate(snapshot.charAt(end - 1))) {
      end--;
    }
    return new SnapshotPart(
        version, snapshot.length(), offsetChars, snapshot.substring(offsetChars, end));
  }
}
