package org.bambooarch.core.config.internal;

import org.bambooarch.core.config.ConfigMessage.SnapshotPart;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigTextCodec;

/** Gives snapshots to peers part by part; the text is written once and kept while it is young. */
public final class SnapshotServer {

  /** Most characters in one part; four bytes each still fit into a frame. */
  public static final int MAX_PART_CHARS = 12 * 1024;

  private final ConfigTextCodec codec;
  private long version;
  private String snapshot;

  /** Creates the server. */
  public SnapshotServer(ConfigTextCodec codec) {
    this.codec = codec;
  }

  /** Returns a part of a snapshot, or the first part of a newer one if it is no longer held. */
  public SnapshotPart part(ConfigState state, long wantedVersion, int offsetChars) {
    if (snapshot != null && wantedVersion == version && isInside(offsetChars)) {
      return partAt(offsetChars);
    }
    return firstPart(state, wantedVersion);
  }

  /** Returns the first part of a snapshot whose version is at least the given one. */
  public SnapshotPart firstPart(ConfigState state, long minVersion) {
    boolean outdated =
        state.version() - version >= ChangeLog.RETAINED_CHANGES || version < minVersion;
    if (snapshot == null || outdated) {
      version = state.version();
      snapshot = codec.writeSnapshot(state);
    }
    return partAt(0);
  }

  private boolean isInside(int offsetChars) {
    return offsetChars >= 0 && offsetChars < snapshot.length();
  }

  private SnapshotPart partAt(int offsetChars) {
    int end = Math.min(snapshot.length(), offsetChars + MAX_PART_CHARS);
    if (end < snapshot.length() && Character.isHighSurrogate(snapshot.charAt(end - 1))) {
      end--;
    }
    return new SnapshotPart(
        version, snapshot.length(), offsetChars, snapshot.substring(offsetChars, end));
  }
}
