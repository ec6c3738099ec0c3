/** Keys of callers and operators, and what their holders may use. */
@NullMarked
package io.parsleycleat.core.version.configuration.keys;

import org.jspecify.annotations.NullMarked;
