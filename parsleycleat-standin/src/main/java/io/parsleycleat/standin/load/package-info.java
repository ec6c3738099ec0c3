/** The load tool: drives a fleet of processes at the sizes of a deployment and reports what callers saw. */
@NullMarked
package io.parsleycleat.standin.load;

import org.jspecify.annotations.NullMarked;
