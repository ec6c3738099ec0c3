/** Which requests crash upstreams. */
@NullMarked
package io.parsleycleat.gateway.request.crash;

import org.jspecify.annotations.NullMarked;
