/** Following keyed logs: full reads, incremental reads, and the age of the result. */
@NullMarked
package io.parsleycleat.gateway.version.follow;

import org.jspecify.annotations.NullMarked;
