/** Following keyed logs: full reads, updates, and how fresh the result is. */
@NullMarked
package io.parsleycleat.gateway.version.follow;

import org.jspecify.annotations.NullMarked;
