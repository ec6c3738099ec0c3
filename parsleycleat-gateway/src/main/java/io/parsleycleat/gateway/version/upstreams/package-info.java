/** Which upstreams there are, as they last described themselves. */
@NullMarked
package io.parsleycleat.gateway.version.upstreams;

import org.jspecify.annotations.NullMarked;
