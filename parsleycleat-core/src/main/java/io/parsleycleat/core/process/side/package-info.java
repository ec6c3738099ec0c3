/** The side process. */
@NullMarked
package io.parsleycleat.core.process.side;

import org.jspecify.annotations.NullMarked;
