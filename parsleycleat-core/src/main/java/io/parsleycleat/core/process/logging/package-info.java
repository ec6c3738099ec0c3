/** Structured logs, one JSON object a line. */
@NullMarked
package io.parsleycleat.core.process.logging;

import org.jspecify.annotations.NullMarked;
