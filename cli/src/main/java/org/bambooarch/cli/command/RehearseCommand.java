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
 * Runs the warm-up requests of an instance and exits, so that the build of a deployment can write
 * an archive of the classes that an instance needs (class data sharing).
 */
final class RehearseCommand implements Command {

  /** Longest wait for the event loop to end, which has no tasks left by then. */
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
    return "send the warm-up requests through a gateway on loopback, then exit";
  }

  @Override
  public void declareOptions(OptionParser options) {}

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Arguments.positional(0, "no arguments", options);
    EventLoopGroup loops = NettyTransport.newSingleThreadGroup();
    // The JVM writes the class archive when the process ends; no thread may load a class meanwhile.
    PlatformGatewayFactory.newWarmUp(loops).run().join();
    loops.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    return ExitCode.DONE;
  }
}
