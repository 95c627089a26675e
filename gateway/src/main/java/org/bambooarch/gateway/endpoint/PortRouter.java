package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes each request, with the URI that the client sent, to the service of the local port on which
 * it arrived.
 */
public final class PortRouter implements HttpService {

  /**
   * The service of one address.
   *
   * @param address TCP address to listen on; port 0 stands for any free port
   * @param service service of the requests that arrive there
   */
  public record Listener(InetSocketAddress address, HttpService service) {}

  private static final int ANY_PORT = 0;

  private final List<Listener> listeners;
  private volatile Map<Integer, HttpService> servicesByPort;

  /**
   * Creates a router; requests on other ports get a 404 response.
   *
   * @throws IllegalArgumentException if two services have the same port, also at different hosts
   */
  public PortRouter(List<Listener> listeners) {
    this.listeners = List.copyOf(listeners);
    Map<Integer, HttpService> services = new HashMap<>();
    for (Listener listener : listeners) {
      int port = listener.address().getPort();
      if (services.put(port, listener.service()) != null && port != ANY_PORT) {
        throw new IllegalArgumentException(
            "expected a port of its own for each service, but two have port " + port);
      }
    }
    this.servicesByPort = Map.copyOf(services);
  }

  /** Sets the ports that are bound, in the order of {@link #addresses()}. */
  public void setBoundPorts(List<Integer> ports) {
    if (ports.size() != listeners.size()) {
      throw new IllegalStateException(
          "expected %d bound ports but found %s".formatted(listeners.size(), ports));
    }
    Map<Integer, HttpService> services = new HashMap<>();
    for (int i = 0; i < ports.size(); i++) {
      services.put(ports.get(i), listeners.get(i).service());
    }
    servicesByPort = Map.copyOf(services);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) throws Exception {
    InetSocketAddress local = context.localAddress();
    HttpService service = servicesByPort.get(local.getPort());
    return service == null
        ? HttpResponse.of(HttpStatus.NOT_FOUND)
        : service.serve(context, request.withHeaders(headersOf(context, request)));
  }

  private static RequestHeaders headersOf(ServiceRequestContext context, HttpRequest request) {
    return context.sessionProtocol().isMultiplex()
        ? RawRequestUri.remove(request.headers())
        : RawRequestUri.restore(request.headers());
  }

  /** Returns the TCP addresses to listen on, in a fixed order. */
  public List<InetSocketAddress> addresses() {
    return listeners.stream().map(Listener::address).toList();
  }
}
