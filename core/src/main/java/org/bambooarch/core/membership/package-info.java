/** Which instances live, from direct evidence between instances and the platform's lagging list. */
package org.bambooarch.core.membership;
