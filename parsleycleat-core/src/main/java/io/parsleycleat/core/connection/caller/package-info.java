/** The HTTP server that callers connect to, for HTTP/1.1 and HTTP/2. */
@NullMarked
package io.parsleycleat.core.connection.caller;

import org.jspecify.annotations.NullMarked;
