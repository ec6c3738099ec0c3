/** How HTTP/1.1 messages are decoded, by the servers and the clients of a process alike. */
@NullMarked
package io.parsleycleat.core.connection.http;

import org.jspecify.annotations.NullMarked;
