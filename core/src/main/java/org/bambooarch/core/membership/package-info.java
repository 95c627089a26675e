/**
 * Detects which entry instances are alive, from heartbeats between the instances and from the
 * platform's list of instances, which may be out of date.
 */
package org.bambooarch.core.membership;
