/** Budgets that requests draw on: the accounts' and the retries'. */
@NullMarked
package io.parsleycleat.gateway.request.limits;

import org.jspecify.annotations.NullMarked;
