/** Remembers what was decided about recent requests, so that operators can ask why. */
@NullMarked
package io.parsleycleat.core.request.trace;

import org.jspecify.annotations.NullMarked;
