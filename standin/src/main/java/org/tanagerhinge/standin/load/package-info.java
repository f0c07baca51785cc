/** An open-loop load generator that checks every answer. */
package org.tanagerhinge.standin.load;
