/** Runs of requests, as an entry starts them and a side answers them over a connection that may be lost. */
@NullMarked
package io.parsleycleat.core.connection.run;

import org.jspecify.annotations.NullMarked;
