/** The operators' command line. */
@NullMarked
package io.parsleycleat.daemon.command;

import org.jspecify.annotations.NullMarked;
