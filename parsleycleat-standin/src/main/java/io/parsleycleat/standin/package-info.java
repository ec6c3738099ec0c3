/** Stand-ins for the platform and the upstreams, for tests and trials on one machine. */
@NullMarked
package io.parsleycleat.standin;

import org.jspecify.annotations.NullMarked;
