/** The side process, which controls access to one model engine. */
@NullMarked
package io.parsleycleat.gateway.process.side;

import org.jspecify.annotations.NullMarked;
