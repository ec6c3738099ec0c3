/** Chooses the upstream of each request. */
@NullMarked
package io.parsleycleat.core.request.routing;

import org.jspecify.annotations.NullMarked;
