/** Streams of events between upstream and caller. */
@NullMarked
package io.parsleycleat.gateway.request.events;

import org.jspecify.annotations.NullMarked;
