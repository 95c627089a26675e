package org.bambooarch.core.config;

/**
 * A live instance as the spread of the configuration sees it.
 *
 * @param instance unique name
 * @param dataCentre name of its data centre
 */
public record ReplicationMember(String instance, String dataCentre) {}
