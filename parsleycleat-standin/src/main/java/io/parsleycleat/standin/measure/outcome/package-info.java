/** Measures what recording intents costs at the log. */
@NullMarked
package io.parsleycleat.standin.measure.outcome;

import org.jspecify.annotations.NullMarked;
