/** A deterministic simulation of entries that share token budgets, and the comparison of ways to do it. */
@NullMarked
package io.parsleycleat.standin.measure.limits;

import org.jspecify.annotations.NullMarked;
