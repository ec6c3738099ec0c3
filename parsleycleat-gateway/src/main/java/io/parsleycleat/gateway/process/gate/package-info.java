/** The side's gate before a model engine: starts, adapters, orders. */
@NullMarked
package io.parsleycleat.gateway.process.gate;

import org.jspecify.annotations.NullMarked;
