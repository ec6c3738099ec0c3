/** Sources of time, replaceable in tests. */
@NullMarked
package io.parsleycleat.core.process.time;

import org.jspecify.annotations.NullMarked;
