/** The known upstreams, according to their newest descriptions. */
@NullMarked
package io.parsleycleat.gateway.version.upstreams;

import org.jspecify.annotations.NullMarked;
