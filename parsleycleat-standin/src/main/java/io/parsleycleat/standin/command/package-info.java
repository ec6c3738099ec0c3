/** The sub-commands of the stand-ins' command line. */
@NullMarked
package io.parsleycleat.standin.command;

import org.jspecify.annotations.NullMarked;
