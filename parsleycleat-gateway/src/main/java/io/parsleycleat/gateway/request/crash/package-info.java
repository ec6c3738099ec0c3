/** Detects crashes of upstreams and the requests suspected of causing them. */
@NullMarked
package io.parsleycleat.gateway.request.crash;

import org.jspecify.annotations.NullMarked;
