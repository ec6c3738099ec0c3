/** The claim of a side process on its upstream: fencing numbers and leases. */
@NullMarked
package io.parsleycleat.core.process.lease;

import org.jspecify.annotations.NullMarked;
