/** Forwarding a caller's request to upstreams and their answer back. */
@NullMarked
package io.parsleycleat.gateway.request.forward;

import org.jspecify.annotations.NullMarked;
