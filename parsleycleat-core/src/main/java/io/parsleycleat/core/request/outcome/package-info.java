/** Keeps non-idempotent requests to one run, and requests that crash upstreams to two. */
@NullMarked
package io.parsleycleat.core.request.outcome;

import org.jspecify.annotations.NullMarked;
