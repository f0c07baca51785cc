/** Hash functions that give the same result on every node. */
package org.tanagerhinge.core.hash;
