/** Clients of the platform's log, weight store and VM list. */
@NullMarked
package io.parsleycleat.core.connection.platform;

import org.jspecify.annotations.NullMarked;
