/** The operators' interface: remote calls that change and show the configuration. */
@NullMarked
package io.parsleycleat.core.process.operators;

import org.jspecify.annotations.NullMarked;
