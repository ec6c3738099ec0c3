/** The thin daemons: they read settings, build the library's process and stop it on a signal. */
@NullMarked
package io.parsleycleat.daemon;

import org.jspecify.annotations.NullMarked;
