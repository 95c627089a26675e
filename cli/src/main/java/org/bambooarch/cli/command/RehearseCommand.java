package org.bambooarch.cli.command;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.gateway.target.NettyTransport;
import org.bambooarch.platform.PlatformGatewayFactory;

/**
 * Runs the load by which an instance warms up, so that a build can archive the classes it needs.
 */
final class RehearseCommand implements Command {

  /** Longest wait for the event loop to end, in seconds; it has nothing left to do. */
  private static final long SHUTDOWN_SECONDS = 5;

  @Override
  public String name() {
    return "rehearse";
  }

  @Override
  public String arguments() {
    return "";
  }

  @Override
  public String summary() {
    return "carry some requests through a gateway on loopback, and stop";
  }

  @Override
  public void declare(OptionParser options) {}

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Arguments.exactly(0, "no arguments", options);
    EventLoopGroup loops = NettyTransport.newSingleThreadGroup();
    // The archive of classes is written when the process ends, and no thread may load one then.
    PlatformGatewayFactory.newWarmUp(loops).run().join();
    loops.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    return ExitCode.DONE;
  }
}
