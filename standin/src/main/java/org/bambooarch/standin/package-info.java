/**
 * Stand-ins of the platform and of targets, for tests and the quickstart only.
 *
 * <p>Nothing here is part of the product.
 */
package org.bambooarch.standin;
