package org.bambooarch.cli.config;

import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatformClient;

/** The options that tell a command where the platform is. */
public final class PlatformOptions {

  private static final String PLATFORM = "platform";
  private static final String TIMEOUT_MILLIS = "timeout-millis";
  private static final String AUTHOR = "author";
  private static final String DEFAULT_URI = "http://127.0.0.1:20000";
  private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

  private PlatformOptions() {}

  /** Declares the options for reading. */
  public static void declareForReading(OptionParser options) {
    options
        .accepts(PLATFORM, "base URI of the platform's services")
        .withRequiredArg()
        .defaultsTo(DEFAULT_URI);
    options
        .accepts(TIMEOUT_MILLIS, "time limit of one call to the platform")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_TIMEOUT_MILLIS);
  }

  /** Declares the options for changes. */
  public static void declareForChanges(OptionParser options) {
    declareForReading(options);
    options
        .accepts(AUTHOR, "name shown to an operator whose change conflicts")
        .withRequiredArg()
        .defaultsTo(System.getProperty("user.name", "operator"));
  }

  /** Returns the base URI of the platform. */
  public static String uri(OptionSet options) {
    return (String) options.valueOf(PLATFORM);
  }

  /** Returns a client of the platform. */
  public static HttpPlatformClient platform(OptionSet options) {
    long timeoutMillis = (Long) options.valueOf(TIMEOUT_MILLIS);
    return HttpPlatformClient.create(uri(options), Duration.ofMillis(timeoutMillis));
  }

  /** Returns the log of configuration changes. */
  public static ConfigRepository repository(OptionSet options) {
    return new ConfigRepository(platform(options));
  }

  /** Returns the author of changes. */
  public static String author(OptionSet options) {
    return (String) options.valueOf(AUTHOR);
  }
}
