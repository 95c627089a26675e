/** An entry instance of the fleet: it accepts requests of clients and forwards them to servers. */
package org.bambooarch.gateway;
