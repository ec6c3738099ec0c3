/** Starts and steers a fleet of stand-ins and daemons as processes on one machine. */
@NullMarked
package io.parsleycleat.standin.fleet;

import org.jspecify.annotations.NullMarked;
