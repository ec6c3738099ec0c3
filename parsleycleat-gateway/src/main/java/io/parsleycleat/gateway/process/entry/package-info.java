/** The entry process: its life cycle, settings and readiness check. */
@NullMarked
package io.parsleycleat.gateway.process.entry;

import org.jspecify.annotations.NullMarked;
