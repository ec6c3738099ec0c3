package io.parsleycleat.standin.command;

/** A sub-command of the stand-ins' command line. Created by args4j for one call. */
public interface Command {
    /** Does the work and returns the exit code. */
    int run() throws Exception;
}
