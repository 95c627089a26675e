/** Implementation of the membership; not for use by other packages. */
package org.bambooarch.core.membership.internal;
