/** Stand-ins for model engines and plain services. */
@NullMarked
package io.parsleycleat.standin.upstream;

import org.jspecify.annotations.NullMarked;
