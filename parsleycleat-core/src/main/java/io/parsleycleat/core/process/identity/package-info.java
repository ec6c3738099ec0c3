/** What a process knows about itself from its settings. */
@NullMarked
package io.parsleycleat.core.process.identity;

import org.jspecify.annotations.NullMarked;
