/** Numbered result codes, request failures, and the base class of the checked exceptions. */
package org.tanagerhinge.core.result;
