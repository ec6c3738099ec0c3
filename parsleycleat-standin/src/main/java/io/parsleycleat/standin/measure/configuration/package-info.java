/** Measures how fast, and at what cost, a configuration change reaches every process. */
@NullMarked
package io.parsleycleat.standin.measure.configuration;

import org.jspecify.annotations.NullMarked;
