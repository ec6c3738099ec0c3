/** HTTP connections to upstreams, each of which carries one request at a time. */
@NullMarked
package io.parsleycleat.gateway.connection.upstream;

import org.jspecify.annotations.NullMarked;
