/** Choice of a target server for a request, and of entry instances for a caller. */
package org.bambooarch.core.routing;
