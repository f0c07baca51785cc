/** What a request's attempts at backend servers have in common, whichever interface it came through. */
package org.tanagerhinge.core.attempt;
