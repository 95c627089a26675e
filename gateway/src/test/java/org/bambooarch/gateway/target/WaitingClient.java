package org.bambooarch.gateway.target;

/** A client that waits for its response, so that its request may be sent. */
final class WaitingClient implements SendGate.Owner {

  @Override
  public boolean isFinished() {
    return false;
  }

  @Override
  public double serviceNanos() {
    return 0;
  }

  @Override
  public boolean mayRun() {
    return true;
  }

  @Override
  public void onRefused(SendGate.Refusal refusal) {
    throw new IllegalStateException("refused: " + refusal);
  }
}
