package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bambooarch.gateway.GatewaySettings;

/**
 * Routes each request, with the URI that the client sent, to the service of the local port on which
 * it arrived.
 */
public final class PortRouter implements HttpService {

  private final Map<Integer, HttpService> servicesByPort;

  /** Creates a router; requests on ports that are not in the map get a 404 response. */
  public PortRouter(Map<Integer, HttpService> servicesByPort) {
    this.servicesByPort = Map.copyOf(servicesByPort);
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

  /** Returns the TCP addresses to listen on, in a fixed order and without duplicates. */
  public Set<InetSocketAddress> addresses(GatewaySettings settings) {
    return new LinkedHashSet<>(
        List.of(
            settings.clientAddress(),
            settings.readinessAddress(),
            settings.directoryAddress(),
            settings.metricsAddress(),
            settings.peerAddress()));
  }
}
