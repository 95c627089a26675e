package org.bambooarch.gateway.request;

import io.netty.channel.EventLoop;
import java.util.random.RandomGenerator;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.target.TargetHttpClient;

/**
 * What all requests of an instance share.
 *
 * @param state what decisions are made from
 * @param connections connections to servers
 * @param format names and formats on the wire
 * @param loop the one event loop
 * @param metrics counters
 * @param log lines about single requests
 * @param random source of chance
 */
public record GatewayContext(
    ControlState state,
    TargetHttpClient connections,
    RequestFormat format,
    EventLoop loop,
    GatewayMetrics metrics,
    RequestEventLog log,
    RandomGenerator random) {}
