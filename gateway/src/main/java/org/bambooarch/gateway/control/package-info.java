/** Control state of an instance, which it receives from the store and from other instances. */
package org.bambooarch.gateway.control;
