package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigText;
import org.bambooarch.core.config.LoggedChange;

/**
 * The configuration in force and the last changes that led to it.
 *
 * <p>The version only moves forward, one change at a time or to a newer snapshot.
 */
public final class ChangeLog {

  /** Most changes that are kept for peers that lag behind. */
  public static final int KEPT_CHANGES = 1024;

  private final ConfigText text;
  private final List<LoggedChange> kept = new ArrayList<>();
  private ConfigState state = ConfigState.initial();
  private long conflictingTexts;
  private long unreadableChanges;

  /** Creates the log before the first change. */
  public ChangeLog(ConfigText text) {
    this.text = text;
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
        checkSameText(change);
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
      state = state.apply(text.readChange(change.text()));
    } catch (ConfigFormatException e) {
      // Skipping the change would leave this instance with another configuration than the rest.
      unreadableChanges++;
      return false;
    }
    kept.add(change);
    if (kept.size() > 2 * KEPT_CHANGES) {
      kept.subList(0, KEPT_CHANGES).clear();
    }
    return true;
  }

  private void checkSameText(LoggedChange change) {
    long index = change.version() - firstKeptVersion();
    if (index >= 0 && index < kept.size() && !kept.get((int) index).equals(change)) {
      conflictingTexts++;
    }
  }

  /** Puts a snapshot in force if it is newer than the version in force. */
  public boolean install(String snapshot) {
    ConfigState read;
    try {
      read = text.readSnapshot(snapshot);
    } catch (ConfigFormatException e) {
      unreadableChanges++;
      return false;
    }
    if (read.version() <= version()) {
      return false;
    }
    state = read;
    kept.clear();
    return true;
  }

  private long firstKeptVersion() {
    return kept.isEmpty() ? version() + 1 : kept.getFirst().version();
  }

  /** Returns whether the changes after a version are kept. */
  public boolean hasChangesAfter(long afterVersion) {
    return afterVersion + 1 >= firstKeptVersion();
  }

  /** Returns kept changes after a version whose texts fit into the limit, at least one. */
  public List<LoggedChange> changesAfter(long afterVersion, int limitChars) {
    List<LoggedChange> found = new ArrayList<>();
    int chars = 0;
    long firstIndex = Math.max(0, afterVersion + 1 - firstKeptVersion());
    for (long index = firstIndex; index < kept.size(); index++) {
      LoggedChange change = kept.get((int) index);
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
