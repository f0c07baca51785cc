/** Network addresses. */
package org.tanagerhinge.core.net;
