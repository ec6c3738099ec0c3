/** Small processes that take the place of the platform and of upstreams, and their command line. */
@NullMarked
package io.parsleycleat.standin;

import org.jspecify.annotations.NullMarked;
