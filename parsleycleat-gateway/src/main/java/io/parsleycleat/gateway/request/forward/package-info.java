/** Forwarding of callers' requests to upstreams, with retries, and of the answers back to the callers. */
@NullMarked
package io.parsleycleat.gateway.request.forward;

import org.jspecify.annotations.NullMarked;
