/** Executes runs on the upstream of a side. */
@NullMarked
package io.parsleycleat.core.request.execute;

import org.jspecify.annotations.NullMarked;
