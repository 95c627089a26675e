package org.bambooarch.gateway.bodypath;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.CancellationException;
import java.util.function.Consumer;
import org.bambooarch.gateway.spi.RelayHeaders;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** A client with one request: sends its body in parts, and reads the response when it wants to. */
final class SimulatedClient implements Subscriber<HttpObject> {

  /** How the request ended for the client. */
  enum Ending {
    NONE,
    COMPLETE,
    ABORTED,
    LEFT
  }

  private final EventLoop loop;
  private final String id;
  private final String requestId;
  private final long bodyBytes;
  private final Channel channel;
  private final HttpRequestWriter request;
  private final Consumer<String> violations;
  private Subscription subscription;
  private boolean paused;
  private boolean reportedLeft;
  private boolean breaksAtNextWrite;
  private boolean asked;
  private long sentBytes;
  private boolean bodyEnded;
  private ResponseHeaders head;
  private long receivedBytes;
  private Ending ending = Ending.NONE;

  SimulatedClient(
      EventLoop loop, Channel channel, RequestHeaders headers, Consumer<String> violations) {
    this.loop = loop;
    this.id = headers.get(PlainFormat.ATTEMPT);
    this.requestId = headers.get(PlainFormat.ID);
    this.bodyBytes = headers.getLong(PlainFormat.LENGTH, 0);
    this.channel = channel;
    this.request = HttpRequest.streaming(headers);
    this.violations = violations;
  }

  /** Returns the name of this attempt, which no other client has. */
  String id() {
    return id;
  }

  HttpRequest request() {
    return request;
  }

  Channel channel() {
    return channel;
  }

  Ending ending() {
    return ending;
  }

  /** Returns the status of the response; 0 if none has arrived. */
  int status() {
    return head == null ? 0 : head.status().code();
  }

  long receivedBytes() {
    return receivedBytes;
  }

  long sentBytes() {
    return sentBytes;
  }

  boolean hasSentAll() {
    return bodyEnded;
  }

  boolean isRelayed() {
    return request.headers().contains(RelayHeaders.SERVER);
  }

  boolean isPaused() {
    return paused;
  }

  void onServed(HttpResponse response) {
    response.subscribe(this, loop);
  }

  /** Returns whether the instance has read all that the client has sent, and more is to come. */
  boolean maySend() {
    return ending == Ending.NONE
        && !bodyEnded
        && request.isOpen()
        && request.whenConsumed().isDone();
  }

  /** Sends the next part of the body, and its end after the last one. */
  void sendPart(int maxBytes) {
    int length = (int) Math.min(maxBytes, bodyBytes - sentBytes);
    if (length > 0) {
      request.write(HttpData.wrap(PatternBytes.part(id, sentBytes, length)));
      sentBytes += length;
    } else {
      bodyEnded = true;
      request.close();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    ask();
  }

  /** Lets the connection break while the next part of the response is written to it. */
  void breakAtNextWrite() {
    breaksAtNextWrite = true;
  }

  /** Closes the connection; the instance learns it from the connection first. */
  void leave() {
    ending = Ending.LEFT;
    channel.close();
  }

  /** Tells the HTTP server's streams that the client has left, as it does some time later. */
  void reportLeft() {
    reportedLeft = true;
    request.abort(new CancellationException("the client has left"));
    if (subscription != null) {
      subscription.cancel();
    }
  }

  boolean hasReportedLeft() {
    return reportedLeft;
  }

  private void ask() {
    if (!paused && !asked && subscription != null && ending == Ending.NONE) {
      asked = true;
      subscription.request(1);
    }
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    ask();
  }

  @Override
  public void onNext(HttpObject object) {
    asked = false;
    if (ending == Ending.LEFT) {
      return;
    }
    if (breaksAtNextWrite) {
      leave();
      return;
    }
    if (object instanceof ResponseHeaders headers) {
      require(head == null, "a second head");
      require(headers.get(PlainFormat.ID).equals(requestId), "the response of " + headers);
      // A refusal of the instance itself names no attempt.
      require(headers.get(PlainFormat.ATTEMPT, id).equals(id), "the response of " + headers);
      head = headers;
    } else if (object instanceof HttpData data) {
      require(head != null, "a body without a head");
      byte[] bytes = data.array();
      require(
          PatternBytes.matches(bodyKey(id), receivedBytes, bytes), "a wrong part of the response");
      receivedBytes += bytes.length;
    }
    loop.execute(this::ask);
  }

  /** Returns the key of the response body to a request. */
  static String bodyKey(String requestId) {
    return "response to " + requestId;
  }

  @Override
  public void onComplete() {
    if (ending == Ending.LEFT) {
      return;
    }
    require(ending == Ending.NONE, "a second end");
    require(head != null, "an end without a head");
    long expected = head.getLong(PlainFormat.LENGTH, -1);
    require(
        expected < 0 || expected == receivedBytes,
        "a part of the response as a whole one: " + receivedBytes + " of " + expected);
    ending = Ending.COMPLETE;
  }

  @Override
  public void onError(Throwable cause) {
    if (ending != Ending.LEFT) {
      require(ending == Ending.NONE, "an error after the end");
      ending = Ending.ABORTED;
      // The HTTP server closes a connection whose response it cannot complete.
      channel.close();
    }
  }

  private void require(boolean condition, String found) {
    if (!condition) {
      violations.accept("client " + id + " got " + found);
    }
  }

  @Override
  public String toString() {
    return "%s[sent %d of %d, received %d, %s%s]"
        .formatted(id, sentBytes, bodyBytes, receivedBytes, ending, paused ? ", paused" : "");
  }
}
