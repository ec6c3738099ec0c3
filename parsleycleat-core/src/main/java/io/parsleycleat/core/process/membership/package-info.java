/** The virtual machines that the platform lists, and what is known of their reachability. */
@NullMarked
package io.parsleycleat.core.process.membership;

import org.jspecify.annotations.NullMarked;
