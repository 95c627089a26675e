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
import org.bambooarch.store.http.HttpPlatform;

/** What all requests of one instance share. */
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
   * Creates the services of an instance.
   *
   * @param broadcast sends crash reports to the other instances without waiting
   */
  public RequestServices(
      String instance,
      HttpPlatform platform,
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

  /** Returns the clock. */
  public Clock clock() {
    return clock;
  }

  /** Returns the check of callers' keys. */
  public KeyCheck keyCheck() {
    return keyCheck;
  }

  /** Returns the budget of retries. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns the choice of servers. */
  public TargetSelection selection() {
    return selection;
  }

  /** Returns the admission of customers' requests. */
  public CustomerAdmission admission() {
    return admission;
  }

  /** Returns the exchanges with servers. */
  public TargetExchange exchange() {
    return exchange;
  }

  /** Returns the records of non-idempotent requests. */
  public IdempotencyRecordStore idempotencyRecords() {
    return idempotencyRecords;
  }

  /** Returns the bodies of recorded answers. */
  public ResponseBodyStore responseBodies() {
    return responseBodies;
  }

  /** Returns the reports of crashing requests. */
  public CrashEvidenceReplicator crashEvidence() {
    return crashEvidence;
  }

  /** Returns an owner that no other send has. */
  IdempotencyRecordOwner newRecordOwner() {
    return new IdempotencyRecordOwner(instance, incarnation, nextSequence.getAndIncrement());
  }

  /** Returns a request id that no other request has. */
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
