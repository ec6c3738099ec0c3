/** Snapshots of the configuration in the log, cut into chunks that fit a record. */
@NullMarked
package io.parsleycleat.core.version.configuration.snapshot;

import org.jspecify.annotations.NullMarked;
