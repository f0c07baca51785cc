/** Value types for identifiers shared by all modules. */
package org.tanagerhinge.core.id;
