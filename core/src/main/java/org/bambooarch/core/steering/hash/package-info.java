/** Hash functions for server choice, customer names and requests, the same on all instances. */
package org.bambooarch.core.steering.hash;
