/** What the gateway needs of the platform around it, in the gateway's own words. */
package org.bambooarch.gateway.spi;
