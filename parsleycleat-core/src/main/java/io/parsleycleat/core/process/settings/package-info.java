/** Reads and checks the JSON settings of a process. */
@NullMarked
package io.parsleycleat.core.process.settings;

import org.jspecify.annotations.NullMarked;
