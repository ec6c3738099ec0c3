/** The side process. */
@NullMarked
package io.parsleycleat.gateway.process.side;

import org.jspecify.annotations.NullMarked;
