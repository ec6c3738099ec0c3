/** Clients of model engines and plain services. */
@NullMarked
package io.parsleycleat.core.connection.upstream;

import org.jspecify.annotations.NullMarked;
