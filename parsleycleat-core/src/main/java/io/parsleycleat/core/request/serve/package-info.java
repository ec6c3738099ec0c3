/** Serves callers' requests: from the HTTP request to the whole answer or the refusal. */
@NullMarked
package io.parsleycleat.core.request.serve;

import org.jspecify.annotations.NullMarked;
