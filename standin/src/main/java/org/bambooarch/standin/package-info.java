/**
 * Stand-ins (test doubles) of the platform and of target servers, for tests, trials and the
 * quickstart only. Production instances use none of these classes.
 */
package org.bambooarch.standin;
