/** Which upstream a request goes to. */
@NullMarked
package io.parsleycleat.gateway.request.choose;

import org.jspecify.annotations.NullMarked;
