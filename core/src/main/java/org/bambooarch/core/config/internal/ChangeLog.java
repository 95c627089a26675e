package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigTextCodec;
import org.bambooarch.core.config.LoggedChange;

/**
 * The applied configuration and the latest changes that led to it.
 *
 * <p>The version only increases, by one with each change or to that of a newer snapshot.
 */
public final class ChangeLog {

  /**
   * Number of latest changes that are always retained for instances that lag behind, if they were
   * applied one by one. Up to twice as many are retained for a time.
   */
  public static final int RETAINED_CHANGES = 1024;

  private final ConfigTextCodec codec;
  private final List<LoggedChange> retained = new ArrayList<>();
  private ConfigState state = ConfigState.initial();
  private long conflictingTexts;
  private long unreadableChanges;

  /** Creates an empty log at version 0. */
  public ChangeLog(ConfigTextCodec codec) {
    this.codec = codec;
  }

  /** Returns the applied configuration. */
  public ConfigState state() {
    return state;
  }

  /** Returns the applied version. */
  public long version() {
    return state.version();
  }

  /**
   * Applies changes in order as long as each has the version after the applied one; returns those
   * that were applied. Changes already applied are skipped; the first gap or unreadable change ends
   * the call.
   */
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
      // Skipping the change would give this instance a different configuration from all others.
      unreadableChanges++;
      return false;
    }
    retained.add(change);
    if (retained.size() > 2 * RETAINED_CHANGES) {
      retained.subList(0, RETAINED_CHANGES).clear();
    }
    return true;
  }

  /** Counts a received change whose text differs from the one applied for its version. */
  private void checkForConflict(LoggedChange change) {
    long index = change.version() - firstRetainedVersion();
    if (index >= 0 && index < retained.size() && !retained.get((int) index).equals(change)) {
      conflictingTexts++;
    }
  }

  /**
   * Replaces the configuration by that of a snapshot if it is newer; returns whether it did. Drops
   * the retained changes then.
   */
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

  /** Returns whether all changes after a version are retained. */
  public boolean hasChangesAfter(long afterVersion) {
    return afterVersion + 1 >= firstRetainedVersion();
  }

  /**
   * Returns the retained changes after a version, as many as fit into the given number of
   * characters but at least one if there is any.
   */
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

  /** Returns the number of received changes whose text differs from the applied one. */
  public long conflictingTexts() {
    return conflictingTexts;
  }

  /** Returns the number of failed attempts to read a change or a snapshot. */
  public long unreadableChanges() {
    return unreadableChanges;
  }
}
