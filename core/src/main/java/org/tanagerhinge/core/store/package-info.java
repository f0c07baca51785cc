/** The history of the metadata store, which may be restored from an older copy. */
package org.tanagerhinge.core.store;
