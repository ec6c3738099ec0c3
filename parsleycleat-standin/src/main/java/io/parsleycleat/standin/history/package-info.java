/** Histories of concurrent runs, and the checks of what must hold in every one of them. */
@NullMarked
package io.parsleycleat.standin.history;

import org.jspecify.annotations.NullMarked;
