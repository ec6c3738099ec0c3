/** Splitting of server-sent event streams into whole events. */
@NullMarked
package io.parsleycleat.gateway.request.events;

import org.jspecify.annotations.NullMarked;
