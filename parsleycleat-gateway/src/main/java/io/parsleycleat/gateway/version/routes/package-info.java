/** Routes, services, client accounts and limits of one configuration version. */
@NullMarked
package io.parsleycleat.gateway.version.routes;

import org.jspecify.annotations.NullMarked;
