/** Admission control and adapter management of a side for its model engine. */
@NullMarked
package io.parsleycleat.gateway.process.gate;

import org.jspecify.annotations.NullMarked;
