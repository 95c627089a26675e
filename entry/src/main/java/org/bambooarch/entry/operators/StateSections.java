package org.bambooarch.entry.operators;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.IssuedKey;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.entry.EntrySettings;

/** The sections that every state dump has: settings, configuration and process. */
public final class StateSections {

  private static final long BYTES_PER_KIBIBYTE = 1024;

  private StateSections() {}

  /**
   * Summary of the configuration in force.
   *
   * @param version its version
   * @param regions number of regions
   * @param dataCentres number of data centres
   * @param services number of services
   * @param servers number of target servers
   * @param customers number of customers
   * @param clientBlocks number of client blocks
   * @param drains drain rules in force
   * @param validKeysByCustomer number of valid keys of each customer
   * @param withdrawnKeys number of withdrawn keys of all customers
   */
  public record ConfigurationSection(
      long version,
      int regions,
      int dataCentres,
      int services,
      int servers,
      int customers,
      int clientBlocks,
      List<DrainRule> drains,
      Map<String, Integer> validKeysByCustomer,
      int withdrawnKeys) {}

  /**
   * Settings of the instance, without its secrets.
   *
   * @param name unique name of the instance
   * @param dataCentre name of its data centre
   * @param host IP address on which it listens
   * @param platformUri base URI of the platform's services
   * @param storeRegion region that holds the platform's store
   * @param peerSecrets number of secrets that it accepts on connections from other instances
   */
  public record SettingsSection(
      String name,
      String dataCentre,
      String host,
      String platformUri,
      String storeRegion,
      int peerSecrets) {}

  /**
   * Summary of the running process.
   *
   * @param uptimeMillis time since the start of the process, in milliseconds
   * @param heapUsedKibibytes heap in use, in KiB
   * @param threads number of live threads
   */
  public record ProcessSection(long uptimeMillis, long heapUsedKibibytes, int threads) {}

  /** Returns the settings without the secrets, of which only the number is shown. */
  public static SettingsSection settings(EntrySettings settings) {
    return new SettingsSection(
        settings.name(),
        settings.dataCentre(),
        settings.host(),
        settings.platformUri(),
        settings.control().storeRegion(),
        settings.control().peerSecrets().size());
  }

  /** Returns a summary of a configuration, which holds neither keys nor their digests. */
  public static ConfigurationSection configuration(ConfigState config) {
    Map<String, Integer> validKeys = new TreeMap<>();
    int withdrawn = 0;
    for (IssuedKey key : config.keysByDigest().values()) {
      if (key.withdrawn()) {
        withdrawn++;
      } else {
        validKeys.merge(key.customer(), 1, Integer::sum);
      }
    }
    Inventory inventory = config.inventory();
    return new ConfigurationSection(
        config.version(),
        inventory.regions().size(),
        inventory.dataCentres().size(),
        inventory.services().size(),
        inventory.servers().size(),
        inventory.customers().size(),
        inventory.clientBlocks().size(),
        inventory.drains(),
        validKeys,
        withdrawn);
  }

  /** Returns the current figures of this process. */
  public static ProcessSection process() {
    long heapBytes = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    return new ProcessSection(
        ManagementFactory.getRuntimeMXBean().getUptime(),
        heapBytes / BYTES_PER_KIBIBYTE,
        ManagementFactory.getThreadMXBean().getThreadCount());
  }
}
