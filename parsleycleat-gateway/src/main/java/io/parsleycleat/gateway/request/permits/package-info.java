/** Holds what all entries send to upstreams without a side to the request limits that these upstreams name. */
@NullMarked
package io.parsleycleat.gateway.request.permits;

import org.jspecify.annotations.NullMarked;
