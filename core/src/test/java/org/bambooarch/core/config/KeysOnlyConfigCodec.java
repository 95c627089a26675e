package org.bambooarch.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.inventory.Inventory;

/** A text format of keys only: {@code I:digest} issues a key, {@code W:digest} withdraws it. */
final class KeysOnlyConfigCodec implements ConfigTextCodec {

  static LoggedChange issue(long version, String digest) {
    return new LoggedChange(version, "I:" + digest);
  }

  static LoggedChange withdraw(long version, String digest) {
    return new LoggedChange(version, "W:" + digest);
  }

  @Override
  public ConfigChange readChange(String text) throws ConfigFormatException {
    String digest = text.substring(2);
    return switch (text.charAt(0)) {
      case 'I' -> new ConfigChange.IssueKey(digest, "customer");
      case 'W' -> new ConfigChange.WithdrawKey(digest);
      default -> throw new ConfigFormatException("unknown change " + text, null);
    };
  }

  @Override
  public ConfigState readSnapshot(String text) {
    String[] lines = text.split("\n");
    Map<String, IssuedKey> keys = new HashMap<>();
    for (int line = 1; line < lines.length; line++) {
      String digest = lines[line].substring(2);
      keys.put(digest, new IssuedKey(digest, "customer", lines[line].charAt(0) == 'W'));
    }
    return new ConfigState(Long.parseLong(lines[0]), Inventory.empty(), keys);
  }

  @Override
  public String writeSnapshot(ConfigState state) {
    StringBuilder text = new StringBuilder().append(state.version());
    for (IssuedKey key : new TreeMap<>(state.keysByDigest()).values()) {
      text.append('\n').append(key.withdrawn() ? "W:" : "I:").append(key.digest());
    }
    return text.toString();
  }
}
