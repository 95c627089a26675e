package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import org.bambooarch.gateway.control.ControlState;

/**
 * Responds to the platform's readiness probes: 200 if clients may be sent to this instance, 503 if
 * not, and 404 to any other request.
 */
public final class ReadinessService implements HttpService {

  private final ControlState state;
  private final DirectoryFormat format;

  /** Creates the service; the format recognizes the platform's probes. */
  public ReadinessService(ControlState state, DirectoryFormat format) {
    this.state = state;
    this.format = format;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    if (!format.isReadinessProbe(request)) {
      return HttpResponse.of(HttpStatus.NOT_FOUND);
    }
    return HttpResponse.of(state.isReady() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
  }
}
