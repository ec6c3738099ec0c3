/** Fleet-wide token budgets of client accounts. */
@NullMarked
package io.parsleycleat.core.process.limits;

import org.jspecify.annotations.NullMarked;
