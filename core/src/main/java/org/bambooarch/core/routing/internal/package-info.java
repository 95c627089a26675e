/** Tables and systems behind the choice of a target server; not for use from outside. */
package org.bambooarch.core.routing.internal;
