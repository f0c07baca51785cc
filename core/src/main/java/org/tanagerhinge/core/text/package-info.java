/** Hints for mistyped names. */
package org.tanagerhinge.core.text;
