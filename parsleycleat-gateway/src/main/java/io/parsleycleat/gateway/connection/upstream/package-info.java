/** HTTP connections to upstreams, each with one request at a time. */
@NullMarked
package io.parsleycleat.gateway.connection.upstream;

import org.jspecify.annotations.NullMarked;
