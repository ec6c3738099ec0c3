/** The entry process. */
@NullMarked
package io.parsleycleat.core.process.entry;

import org.jspecify.annotations.NullMarked;
