/** Proxying of one client request, from its head to the end of the response. */
package org.bambooarch.gateway.request;
