package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bambooarch.gateway.GatewaySettings;

/** Gives each request to the service of the port on which it came. */
public final class PortRouter implements HttpService {

  private final Map<Integer, HttpService> servicesByPort;

  /** Creates a service over services by port. */
  public PortRouter(Map<Integer, HttpService> servicesByPort) {
    this.servicesByPort = Map.copyOf(servicesByPort);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) throws Exception {
    InetSocketAddress local = context.localAddress();
    HttpService service = servicesByPort.get(local.getPort());
    return service == null
        ? HttpResponse.of(HttpStatus.NOT_FOUND)
        : service.serve(context, request);
  }

  /** Returns the addresses to listen on. */
  public Set<InetSocketAddress> addresses(GatewaySettings settings) {
    return new LinkedHashSet<>(
        List.of(
            settings.clientAddress(),
            settings.readinessAddress(),
            settings.directoryAddress(),
            settings.metricsAddress()));
  }
}
