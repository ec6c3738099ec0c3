/** Orders the requests that wait before an upstream. */
@NullMarked
package io.parsleycleat.core.request.queue;

import org.jspecify.annotations.NullMarked;
