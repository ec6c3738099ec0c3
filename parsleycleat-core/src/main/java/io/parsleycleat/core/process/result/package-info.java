/** Numbered result codes and the exceptions that carry them. */
@NullMarked
package io.parsleycleat.core.process.result;

import org.jspecify.annotations.NullMarked;
