/** The entry process. */
@NullMarked
package io.parsleycleat.gateway.process.entry;

import org.jspecify.annotations.NullMarked;
