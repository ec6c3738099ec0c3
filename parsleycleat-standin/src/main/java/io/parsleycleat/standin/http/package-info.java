/** The HTTP server, fault switch and record of requests that all stand-ins share. */
@NullMarked
package io.parsleycleat.standin.http;

import org.jspecify.annotations.NullMarked;
