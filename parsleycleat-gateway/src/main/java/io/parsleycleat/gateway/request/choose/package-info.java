/** Selects the upstream to which a request is sent. */
@NullMarked
package io.parsleycleat.gateway.request.choose;

import org.jspecify.annotations.NullMarked;
