package org.bambooarch.entry.request.target;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.WebClient;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.http.StrictHttp1;

/**
 * The HTTP clients for target servers; thread-safe.
 *
 * <p>Non-idempotent requests use separate connections with a short idle timeout, so that such a
 * request is never sent on a connection that has been idle for longer.
 */
public final class TargetClients implements AutoCloseable {

  /** Time after which an idle connection for non-idempotent requests is closed. */
  static final Duration NON_IDEMPOTENT_IDLE_TIMEOUT = Duration.ofSeconds(1);

  private static final Duration IDEMPOTENT_IDLE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final ClientFactory idempotentFactory = factory(IDEMPOTENT_IDLE_TIMEOUT);
  private final ClientFactory nonIdempotentFactory = factory(NON_IDEMPOTENT_IDLE_TIMEOUT);
  private final Map<String, WebClient> idempotentClients = new ConcurrentHashMap<>();
  private final Map<String, WebClient> nonIdempotentClients = new ConcurrentHashMap<>();

  /** Returns the client for requests to a server, created on first use. */
  public WebClient clientOf(Server server, boolean idempotent) {
    String uri = "h1c://" + authority(server);
    Map<String, WebClient> clients = idempotent ? idempotentClients : nonIdempotentClients;
    ClientFactory factory = idempotent ? idempotentFactory : nonIdempotentFactory;
    return clients.computeIfAbsent(uri, key -> client(key, factory));
  }

  @Override
  public void close() {
    idempotentFactory.close();
    nonIdempotentFactory.close();
  }

  private static String authority(Server server) {
    String host = server.host().contains(":") ? "[" + server.host() + "]" : server.host();
    return host + ":" + server.port();
  }

  private static ClientFactory factory(Duration idleTimeout) {
    return ClientFactory.builder()
        .idleTimeout(idleTimeout)
        .connectTimeout(CONNECT_TIMEOUT)
        .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, StrictHttp1::prepare)
        .build();
  }

  private static WebClient client(String uri, ClientFactory factory) {
    return WebClient.builder(uri)
        .factory(factory)
        .maxResponseLength(0)
        .responseTimeoutMillis(0)
        .build();
  }
}
