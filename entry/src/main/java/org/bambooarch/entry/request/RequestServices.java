package org.bambooarch.entry.request;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.request.RetryBudget;
import org.bambooarch.core.request.crash.CrashMessage;
import org.bambooarch.core.request.idempotency.IdempotencyRecordOwner;
import org.bambooarch.core.time.Clock;
import org.bambooarch.entry.request.crash.CrashEvidenceReplicator;
import org.bambooarch.entry.request.idempotency.IdempotencyRecordStore;
import org.bambooarch.entry.request.idempotency.ResponseBodyStore;
import org.bambooarch.entry.request.target.TargetClients;
import org.bambooarch.entry.request.target.TargetExchange;
import org.bambooarch.entry.request.target.TargetSelection;
import org.bambooarch.store.http.HttpPlatformClient;

/** The components that all requests of one instance share. */
public final class RequestServices implements AutoCloseable {

  private final String instance;
  private final long incarnation = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE);
  private final AtomicLong nextSequence = new AtomicLong(1);
  private final Clock clock;
  private final KeyCheck keyCheck;
  private final RetryBudget retryBudget = new RetryBudget();
  private final TargetSelection selection;
  private final CustomerAdmission admission;
  private final TargetClients clients = new TargetClients();
  private final TargetExchange exchange;
  private final IdempotencyRecordStore idempotencyRecords;
  private final ResponseBodyStore responseBodies;
  private final CrashEvidenceReplicator crashEvidence;

  /**
   * Creates the components and starts the threads of the record store and of the crash evidence.
   *
   * @param instance name of this instance, the first part of each request id
   * @param broadcast sends crash evidence to the other instances without waiting
   */
  public RequestServices(
      String instance,
      HttpPlatformClient platform,
      KeyCheck keyCheck,
      TargetSelection selection,
      CustomerAdmission admission,
      Consumer<CrashMessage> broadcast,
      Clock clock) {
    this.instance = instance;
    this.clock = clock;
    this.keyCheck = keyCheck;
    this.selection = selection;
    this.admission = admission;
    this.exchange = new TargetExchange(clients, clock);
    this.idempotencyRecords = new IdempotencyRecordStore(platform, clock);
    this.responseBodies = new ResponseBodyStore(platform);
    this.crashEvidence =
        new CrashEvidenceReplicator(platform, broadcast, instance, incarnation, clock);
  }

  /** Returns the clock of deadlines and measured times. */
  public Clock clock() {
    return clock;
  }

  /** Returns the check of callers' API keys. */
  public KeyCheck keyCheck() {
    return keyCheck;
  }

  /** Returns the retry budget, one for all routes of this instance. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns the selection of a server for each attempt. */
  public TargetSelection selection() {
    return selection;
  }

  /** Returns the admission within the customers' rates. */
  public CustomerAdmission admission() {
    return admission;
  }

  /** Returns the exchange that sends requests to servers. */
  public TargetExchange exchange() {
    return exchange;
  }

  /** Returns the store of the records of non-idempotent requests. */
  public IdempotencyRecordStore idempotencyRecords() {
    return idempotencyRecords;
  }

  /** Returns the store of the bodies of recorded responses. */
  public ResponseBodyStore responseBodies() {
    return responseBodies;
  }

  /** Returns the evidence about requests that crash servers, shared with other instances. */
  public CrashEvidenceReplicator crashEvidence() {
    return crashEvidence;
  }

  /**
   * Returns a record owner that no other copy of a request has, on any instance or in an earlier
   * run of this one.
   */
  IdempotencyRecordOwner newRecordOwner() {
    return new IdempotencyRecordOwner(instance, incarnation, nextSequence.getAndIncrement());
  }

  /**
   * Returns a request id that no other request has, on any instance or in an earlier run of this
   * one.
   */
  String newRequestId() {
    return instance
        + "-"
        + Long.toString(incarnation, Character.MAX_RADIX)
        + "-"
        + nextSequence.getAndIncrement();
  }

  @Override
  public void close() {
    idempotencyRecords.close();
    crashEvidence.close();
    clients.close();
  }
}
