/** Limits requests by the budgets of accounts and by the retry budgets of services. */
@NullMarked
package io.parsleycleat.gateway.request.limits;

import org.jspecify.annotations.NullMarked;
