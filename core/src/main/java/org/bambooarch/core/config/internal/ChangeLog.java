package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigTextCodec;
import org.bambooarch.core.config.LoggedChange;

/**
 * The configuration in force and the last changes that led to it.
 *
 * <p>The version only moves forward, one change at a time or to a newer snapshot.
 */
public final class ChangeLog {

  /** Most changes that are kept for peers that lag behind. */
  public static final int RETAINED_CHANGES = 1024;

  private final ConfigTextCodec codec;
  private final List<LoggedChange> retained = new ArrayList<>();
  private ConfigState state = ConfigState.initial();
  private long conflictingTexts;
  private long unreadableChanges;

  /** Creates the log before the first change. */
  public ChangeLog(ConfigTextCodec codec) {
    this.codec = codec;
  }

  /** Returns the configuration in force. */
  public ConfigState state() {
    return state;
  }

  /** Returns the version in force. */
  public long version() {
    return state.version();
  }

  /** Applies the changes that continue the version in force; returns those that did. */
  public List<LoggedChange> apply(List<LoggedChange> changes) {
    List<LoggedChange> applied = new ArrayList<>();
    for (LoggedChange change : changes) {
      if (change.version() <= version()) {
        checkForConflict(change);
        continue;
      }
      if (change.version() != version() + 1 || !applyNext(change)) {
        break;
      }
      applied.add(change);
    }
    return applied;
  }

  private boolean applyNext(LoggedChange change) {
    try {
      state = state.apply(codec.readChange(change.text()));
    } catch (ConfigFormatException e) {
      // Skipping the change would leave this instance with another configuration than the rest.
      unreadableChanges++;
      return false;
    }
    retained.add(change);
    if (retained.size() > 2 * RETAINED_CHANGES) {
      retained.subList(0, RETAINED_CHANGES).clear();
    }
    return true;
  }

  private void checkForConflict(LoggedChange change) {
    long index = change.version() - firstRetainedVersion();
    if (index >= 0 && index < retained.size() && !retained.get((int) index).equals(change)) {
      conflictingTexts++;
    }
  }

  /** Puts a snapshot in force if it is newer than the version in force. */
  public boolean installSnapshot(String snapshot) {
    ConfigState read;
    try {
      read = codec.readSnapshot(snapshot);
    } catch (ConfigFormatException e) {
      unreadableChanges++;
      return false;
    }
    if (read.version() <= version()) {
      return false;
    }
    state = read;
    retained.clear();
    return true;
  }

  private long firstRetainedVersion() {
    return retained.isEmpty() ? version() + 1 : retained.getFirst().version();
  }

  /** Returns whether the changes after a version are kept. */
  public boolean hasChangesAfter(long afterVersion) {
    return afterVersion + 1 >= firstRetainedVersion();
  }

  /** Returns kept changes after a version whose texts fit into the limit, at least one. */
  public List<LoggedChange> changesAfter(long afterVersion, int limitChars) {
    List<LoggedChange> found = new ArrayList<>();
    int chars = 0;
    long firstIndex = Math.max(0, afterVersion + 1 - firstRetainedVersion());
    for (long index = firstIndex; index < retained.size(); index++) {
      LoggedChange change = retained.get((int) index);
      chars += change.text().length();
      if (chars > limitChars && !found.isEmpty()) {
        break;
      }
      found.add(change);
    }
    return found;
  }

  /** Returns the number of changes that came with another text for a version in force. */
  public long conflictingTexts() {
    return conflictingTexts;
  }

  /** Returns the number of attempts to apply a text that could not be read. */
  public long unreadableChanges() {
    return unreadableChanges;
  }
}
