package org.bambooarch.gateway.relay;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.EventLoop;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.RelayHeaders;

/**
 * Makes calls to the store for other instances, to which the store does not respond. All other
 * requests on the relay port go to the next service.
 *
 * <p>Used on the event loop only.
 */
public final class StoreCallService implements HttpService {

  /** Largest number of calls in progress; the store divides its rate among all instances. */
  static final int MAX_CALLS = 16;

  private final ControlStore store;
  private final HttpService next;
  private final EventLoop loop;
  private int callsInProgress;

  /**
   * Creates the service.
   *
   * @param next service of the requests that are no calls to the store
   */
  public StoreCallService(ControlStore store, HttpService next, EventLoop loop) {
    this.store = store;
    this.next = next;
    this.loop = loop;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) throws Exception {
    if (!request.headers().contains(RelayHeaders.STORE_CALL)) {
      return next.serve(context, request);
    }
    if (callsInProgress >= MAX_CALLS || request.method() != HttpMethod.GET) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    callsInProgress++;
    HttpResponse response = store.forward(request.path());
    response.whenComplete().whenCompleteAsync((done, failure) -> callsInProgress--, loop);
    return response;
  }
}
