package org.bambooarch.gateway.relay;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.bambooarch.gateway.request.GatewayContext;

/**
 * Accepts requests of other instances on the relay port and starts a {@link RelayExchange} for
 * each. The other instance has admitted the request and chosen its server.
 *
 * <p>Used on the event loop only.
 */
public final class RelayService implements HttpService {

  private final GatewayContext context;
  private int inFlight;

  /** Creates the service. */
  public RelayService(GatewayContext context) {
    this.context = context;
  }

  /** Returns how many requests have no complete response yet. Called on the event loop only. */
  public int inFlight() {
    return inFlight;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext armeriaContext, HttpRequest request) {
    HttpResponseWriter writer = HttpResponse.streaming();
    context.metrics().onRelayedRequest();
    Channel channel = armeriaContext.log().ensureAvailable(RequestLogProperty.SESSION).channel();
    boolean multiplexed = armeriaContext.sessionProtocol().isMultiplex();
    long unreadNanos = context.arrivals().unreadNanos(channel, request.headers(), multiplexed);
    RelayExchange exchange = new RelayExchange(context, request.headers(), writer, unreadNanos);
    inFlight++;
    // Armeria reports that the other instance has disconnected a second later than the connection.
    ChannelFutureListener onClosed = closed -> exchange.onDisconnected();
    channel.closeFuture().addListener(onClosed);
    writer
        .whenComplete()
        .whenCompleteAsync(
            (done, failure) -> {
              inFlight--;
              channel.closeFuture().removeListener(onClosed);
              exchange.onDisconnected();
            },
            context.loop());
    request.subscribe(exchange.body(), context.loop());
    return writer;
  }
}
