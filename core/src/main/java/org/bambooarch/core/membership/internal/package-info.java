/** Parts of the membership that are not meant for other packages. */
package org.bambooarch.core.membership.internal;
