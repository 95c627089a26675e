/** What callers and the platform ask an instance besides their requests. */
package org.bambooarch.gateway.endpoint;
